package entry

import (
	"context"
	"time"
)

// stopMargin is added to the time for which a leaving entry serves on: a locate
// answer may be under way when the entry begins to leave.
const stopMargin = time.Second

// leave takes the entry out of locate everywhere and goes on serving until
// every answer that named it has expired. A caller that keeps its locate
// answer to its end would otherwise find a closed port.
func (e *Entry) leave() {
	e.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), graceTime)
	defer cancel()
	e.log.Info("leaving")
	e.control.tell(ctx, stopping{})
	if err := e.members.Leave(ctx); err != nil {
		e.log.WithError(err).Warn("leave not announced")
	}
	select {
	case <-time.After(e.longestHold() + stopMargin):
	case <-ctx.Done():
	}
}

// depart ends what others count on: the store gets the outcomes that are still
// on their way, then membership is told that this entry is gone.
func (e *Entry) depart() {
	ctx, cancel := context.WithTimeout(context.Background(), graceTime)
	defer cancel()
	if err := e.claims.Flush(ctx); err != nil {
		e.log.WithError(err).Warn("stopped before the store had all outcomes")
	}
	if err := e.members.Depart(ctx); err != nil {
		e.log.WithError(err).Warn("departure not announced")
	}
}

// longestHold is the longest time for which services want a leaving entry to
// serve on. The settings keep it at least as long as callers keep an answer.
func (e *Entry) longestHold() (hold time.Duration) {
	for _, sv := range e.site.Load().services {
		hold = max(hold, sv.policy.Load().DrainHold)
	}
	return hold
}
