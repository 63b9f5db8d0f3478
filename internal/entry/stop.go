package entry

import (
	"context"
	"time"
)

// stopMargin is added to the time for which callers keep a locate answer: an
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
	wait := e.longestTTL() + stopMargin
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// longestTTL is the longest time for which a caller may keep an answer.
func (e *Entry) longestTTL() (ttl time.Duration) {
	for _, sv := range e.site.Load().services {
		ttl = max(ttl, sv.policy.Load().LocateTTL)
	}
	return ttl
}
