package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/logs"
)

// The settings bound how long a leaving target may still get requests (2 s or more after
// its change in the store) and how long a configuration may take to come into force.
// Entries receive both from the few entries that read the store for all. If these are
// dead, stopping, or cut off from the store, the lower ranks read only after growing
// delays: the last of ten entries, with the nine others cut off, sent requests to a
// removed target until 5.9 s after the change. Therefore an entry with callers relies on
// the others only up to a maximum age of its data. After that it reads for itself, and
// the first request after a pause waits for the read. As long as the store responds, each
// request is served by data within the bounds.
const (
	// stalenessReserve is subtracted from a bound for the delays after the age check: a
	// reader's tick of 50 ms, its call of up to 20 ms, a new connection to the target of
	// up to 250 ms, and packets in transit for longer than their reported age includes.
	staleReserve = 500 * time.Millisecond
	// recentRequestWindow is how long after a request an entry counts as having callers.
	servingTime = time.Second
	// maxRefreshWait bounds the wait of all requests for one read, from the first one that
	// waits. The store responds within 4 ms, and the shortest objective is 150 ms. When
	// each request had its own limit, a store that stopped responding delayed 93 of 255
	// requests in two seconds; with a common limit it delays 12.
	refreshWait = 50 * time.Millisecond
	// refreshPollInterval is how often a waiting request checks the age again.
	refreshLook = 5 * time.Millisecond
)

// resourceAges is an age for each resource.
type ages [duties]time.Duration

// maxAges returns the ages at which store data is too old to serve requests.
func (g *Gateway) stale() ages {
	b := g.bounds.Load()
	return ages{dutyConfig: staleAt(b.Apply), dutyTargets: staleAt(b.Drain), dutyEvacuations: staleAt(b.Evacuate)}
}

// maxAge returns the bound less the reserve, but at least half of the bound.
func staleAt(bound time.Duration) time.Duration { return max(bound-staleReserve, bound/2) }

// freshness connects request handlers, which need recent store data, with the control
// loop and the readers, which provide it. It is safe for concurrent use.
type freshness struct {
	mu        sync.Mutex
	confirmed [duties]time.Time     // when the store confirmed the data in force
	away      bool                  // the store doesn't respond; requests don't wait for it
	moved     chan struct{}         // closed and replaced when one of the two above changes
	used      time.Time             // arrival of the last request
	asked     [duties]time.Time     // when the first request began to wait for a confirmation
	wanted    [duties]chan struct{} // wake the readers
}

func newFreshness() *freshness {
	f := &freshness{moved: make(chan struct{})}
	for d := range f.wanted {
		f.wanted[d] = make(chan struct{}, 1)
	}
	return f
}

// update sets the control loop's state and wakes waiting requests if it has changed.
func (f *freshness) set(confirmed [duties]time.Time, storeUnavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == confirmed && f.away == storeUnavailable {
		return
	}
	f.confirmed, f.away = confirmed, storeUnavailable
	close(f.moved)
	f.moved = make(chan struct{})
}

// recordRequest records a request. It returns the resources that the request should wait
// for, and a channel that is closed at the next change.
func (f *freshness) use(now time.Time, maxAges ages) (wait []duty, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used = now
	for d, confirmed := range f.confirmed {
		if f.away || confirmed.IsZero() || now.Sub(confirmed) < maxAges[d] {
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

// hasCallers reports whether a request arrived within recentRequestWindow.
func (f *freshness) serving(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.used.IsZero() && now.Sub(f.used) < servingTime
}

// wakeReaders makes the readers of these resources read now.
func (f *freshness) wake(resources []duty) {
	for _, d := range resources {
		select {
		case f.wanted[d] <- struct{}{}:
		default:
		}
	}
}

// awaitFresh makes a request wait until the store data is recent enough to serve it, for
// maxRefreshWait at the most.
func (g *Gateway) await(ctx context.Context, arrived time.Time, id string) {
	maxAges := g.stale()
	wait, changed := g.freshness.use(arrived, maxAges)
	if len(wait) == 0 {
		return
	}
	g.instruments.waits.Inc(1)
	awaited := wait
	defer func() {
		g.log.WithFields(log.Fields{
			logs.FieldRequest: id, "for": dutiesText(awaited), "ms": time.Since(arrived).Milliseconds(),
		}).Info("request waited for newer knowledge")
	}()
	ticker := time.NewTicker(refreshLook)
	defer ticker.Stop()
	for len(wait) > 0 {
		g.freshness.wake(wait)
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wait, changed = g.freshness.use(time.Now(), maxAges)
	}
}

// resourceNames joins the names of resources for a log line.
func dutiesText(resources []duty) string {
	var names []string
	for _, d := range resources {
		names = append(names, dutyNames[d])
	}
	return strings.Join(names, " ")
}
