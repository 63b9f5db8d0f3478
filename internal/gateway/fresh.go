package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/logs"
)

// A leaving target may get requests for as long as the platform's bound allows, 2 s
// and more after the store's word. Entries learn of it from the few that read the
// store for all. Where these are dead, stopping, or cut off from the store alone, the
// next in the order read later and later: the last of ten, with the nine others cut
// off, sent requests to a removed target until 5.9 s after the store's word. So an
// entry that has callers doesn't rely on the others beyond a certain age of what it
// knows: it reads for itself, and a request that comes first after a pause waits for
// that read. The age of a list at each choice then stays within the bound, for as long
// as the store answers.
const (
	// dispatchReserve is kept of the bound for what comes after the last moment at
	// which a list is young enough: a reader's tick of 50 ms, its call of up to 20 ms,
	// a new connection to the target of up to 250 ms, and packets that take longer than
	// the age they tell accounts for.
	dispatchReserve = 500 * time.Millisecond
	// servingTime is how long after a request an entry counts as having callers.
	servingTime = time.Second
	// refreshWait bounds a request's wait for the store, whose answer takes 4 ms. A
	// tenth of a second is less than the shortest objective, 150 ms.
	refreshWait = 100 * time.Millisecond
)

// staleAge is the age from which on the targets are too old to be chosen by.
func (g *Gateway) staleAge() time.Duration {
	drain := g.bounds.Load().Drain
	return max(drain-dispatchReserve, drain/2)
}

// freshness is what traffic and the reader of targets have to know of each other.
type freshness struct {
	mu        sync.Mutex
	confirmed time.Time     // when the store confirmed the targets in force
	away      bool          // the store doesn't answer, so that nothing waits for it
	moved     chan struct{} // closed when either changes
	used      time.Time     // when the last request came
	wanted    chan struct{} // wakes the reader
}

func newFreshness() *freshness {
	return &freshness{moved: make(chan struct{}), wanted: make(chan struct{}, 1)}
}

// set tells traffic what the control loop knows.
func (f *freshness) set(confirmed time.Time, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed.Equal(confirmed) && f.away == away {
		return
	}
	f.confirmed, f.away = confirmed, away
	close(f.moved)
	f.moved = make(chan struct{})
}

// use notes a request, and tells whether it should wait for a newer list, and by what
// channel it hears of one.
func (f *freshness) use(now time.Time, stale time.Duration) (wait bool, moved <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used = now
	wait = !f.away && !f.confirmed.IsZero() && now.Sub(f.confirmed) >= stale
	return wait, f.moved
}

// serving tells whether a request came lately.
func (f *freshness) serving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.used.IsZero() && now.Sub(f.used) < servingTime
}

// awaitTargets lets a request wait until the targets are young enough to be chosen by, for
// as long as the store may be expected to answer.
func (g *Gateway) awaitTargets(ctx context.Context, arrived time.Time, id string) {
	stale := g.staleAge()
	wait, moved := g.freshness.use(arrived, stale)
	if !wait {
		return
	}
	g.instruments.waits.Inc(1)
	defer func() {
		g.log.WithFields(log.Fields{
			logs.FieldRequest: id, "stale": stale.Milliseconds(), "ms": time.Since(arrived).Milliseconds(), "newer": !wait,
		}).Info("request waited for newer targets")
	}()
	t := time.NewTimer(refreshWait)
	defer t.Stop()
	for wait {
		select {
		case g.freshness.wanted <- struct{}{}:
		default:
		}
		select {
		case <-moved:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
		wait, moved = g.freshness.use(time.Now(), stale)
	}
}
