package entry

import (
	"context"
	"time"
)

// stopMargin extends the time for which a leaving entry still serves requests: a
// locate response that contains it may be in transit when it starts to leave.
const stopMargin = time.Second

// leave removes the entry from locate on all entries. It then waits, while the
// entry still serves requests, until every locate response that contained it has
// expired, but at most for stopTimeout. Otherwise a caller with a cached response
// would connect to a closed port.
func (e *Entry) leave() {
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	e.log.Info("leaving")
	e.control.enqueue(ctx, entryLeaving{})
	if err := e.members.Leave(ctx); err != nil {
		e.log.WithError(err).Warn("cannot announce to peers that this entry is leaving")
	}
	select {
	case <-time.After(e.longestDrainHold() + stopMargin):
	case <-ctx.Done():
	}
}

// maxRequestTime is the longest timeout of a service that the settings allow.
const maxRequestTime = 10 * time.Minute

// requestTimeout returns how long the requests in flight may take to finish: each ends by the timeout
// of its service.
func (e *Entry) requestTimeout() (d time.Duration) {
	for _, sv := range e.snapshot.Load().services {
		d = max(d, sv.policy.Load().Timeout)
	}
	return max(min(d, maxRequestTime)+stopMargin, e.stopTimeout)
}

// announceDeparture writes the remaining claim outcomes to the store, then
// announces to the other entries that this one has left.
func (e *Entry) announceDeparture() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := e.claims.Flush(ctx); err != nil {
		e.log.WithError(err).Warn("stopping with claim outcomes not written to the store")
	}
	if err := e.members.Depart(ctx); err != nil {
		e.log.WithError(err).Warn("cannot announce to peers that this entry has left")
	}
}

// longestDrainHold returns the longest DrainHold of all services: how long a
// leaving entry still serves requests. The settings require it to be at least as
// long as callers cache a locate response.
func (e *Entry) longestDrainHold() (hold time.Duration) {
	for _, sv := range e.snapshot.Load().services {
		hold = max(hold, sv.policy.Load().DrainHold)
	}
	return hold
}
