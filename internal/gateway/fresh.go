package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/logs"
)

// A leaving target may get requests for as long as the platform's bound allows, 2 s
// and more after the store's word, and a configuration has as long until it is in
// force. Entries learn of both from the few that read the store for all. Where these
// are dead, stopping, or cut off from the store alone, the next in the order read later
// and later: the last of ten, with the nine others cut off, sent requests to a removed
// target until 5.9 s after the store's word. So an entry that has callers doesn't rely
// on the others beyond a certain age of what it knows: it reads for itself, and a
// request that comes first after a pause waits for that read. The age of what each
// request goes by then stays within the bounds, for as long as the store answers.
const (
	// staleReserve is kept of a bound for what comes after the last moment at which
	// knowledge is young enough: a reader's tick of 50 ms, its call of up to 20 ms, a
	// new connection to the target of up to 250 ms, and packets that take longer than
	// the age they tell accounts for.
	staleReserve = 500 * time.Millisecond
	// servingTime is how long after a request an entry counts as having callers.
	servingTime = time.Second
	// refreshWait is for how long requests wait for the store from the first one on that
	// does. Its answer takes 4 ms, and the shortest objective is 150 ms. With a wait of
	// its own for each request, a store that fell silent held them up until a call had
	// failed, and 93 of 255 in two seconds were late; now 12.
	refreshWait = 50 * time.Millisecond
	// refreshLook is how often a request that waits looks whether that is over.
	refreshLook = 5 * time.Millisecond
)

// ages is an age for each kind of knowledge.
type ages [duties]time.Duration

// stale are the ages from which on knowledge is too old to serve requests by.
func (g *Gateway) stale() ages {
	b := g.bounds.Load()
	return ages{dutyConfig: staleAt(b.Apply), dutyTargets: staleAt(b.Drain), dutyEvacuations: staleAt(b.Evacuate)}
}

// staleAt is the age that leaves the reserve of a bound; of a short one, half of it.
func staleAt(bound time.Duration) time.Duration { return max(bound-staleReserve, bound/2) }

// freshness is what traffic and the readers have to know of each other. It is safe for
// concurrent use.
type freshness struct {
	mu        sync.Mutex
	confirmed [duties]time.Time     // when the store confirmed what is in force
	away      bool                  // the store doesn't answer, so that nothing waits for it
	moved     chan struct{}         // closed when any of these changes
	used      time.Time             // when the last request came
	asked     [duties]time.Time     // when the first one began to wait for the next confirmation
	wanted    [duties]chan struct{} // wake the readers
}

func newFreshness() *freshness {
	f := &freshness{moved: make(chan struct{})}
	for d := range f.wanted {
		f.wanted[d] = make(chan struct{}, 1)
	}
	return f
}

// set tells traffic what the control loop knows.
func (f *freshness) set(confirmed [duties]time.Time, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == confirmed && f.away == away {
		return
	}
	f.confirmed, f.away = confirmed, away
	close(f.moved)
	f.moved = make(chan struct{})
}

// use notes a request, and tells what newer word of the store it should wait for, and by
// what channel it hears of one.
func (f *freshness) use(now time.Time, stale ages) (wait []duty, moved <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used = now
	for d, at := range f.confirmed {
		if f.away || at.IsZero() || now.Sub(at) < stale[d] {
			f.asked[d] = time.Time{}
			continue
		}
		if f.asked[d].IsZero() {
			f.asked[d] = now
		}
		if now.Sub(f.asked[d]) < refreshWait {
			wait = append(wait, duty(d))
		}
	}
	return wait, f.moved
}

// serving tells whether a request came lately.
func (f *freshness) serving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.used.IsZero() && now.Sub(f.used) < servingTime
}

// wake has the readers of these read now.
func (f *freshness) wake(ds []duty) {
	for _, d := range ds {
		select {
		case f.wanted[d] <- struct{}{}:
		default:
		}
	}
}

// await lets a request wait until what is known is young enough to serve it by, for as
// long as the store may be expected to answer.
func (g *Gateway) await(ctx context.Context, arrived time.Time, id string) {
	stale := g.stale()
	wait, moved := g.freshness.use(arrived, stale)
	if len(wait) == 0 {
		return
	}
	g.instruments.waits.Inc(1)
	first := wait
	defer func() {
		g.log.WithFields(log.Fields{
			logs.FieldRequest: id, "for": dutiesText(first), "ms": time.Since(arrived).Milliseconds(),
		}).Info("request waited for newer knowledge")
	}()
	t := time.NewTicker(refreshLook)
	defer t.Stop()
	for len(wait) > 0 {
		g.freshness.wake(wait)
		select {
		case <-moved:
		case <-t.C:
		case <-ctx.Done():
			return
		}
		wait, moved = g.freshness.use(time.Now(), stale)
	}
}

func dutiesText(ds []duty) string {
	var names []string
	for _, d := range ds {
		names = append(names, dutyNames[d])
	}
	return strings.Join(names, " ")
}
