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
	stalenessReserve = 500 * time.Millisecond
	// recentRequestWindow is how long after a request an entry counts as having callers.
	recentRequestWindow = time.Second
	// maxRefreshWait bounds the wait of all requests for one read, from the first one that
	// waits. The store responds within 4 ms, and the shortest objective is 150 ms. When
	// each request had its own limit, a store that stopped responding delayed requests
	// until a call to it had failed: 93 of 255 in two seconds were late. With a common
	// limit it is 12.
	maxRefreshWait = 50 * time.Millisecond
	// refreshPollInterval is how often a waiting request checks the age again.
	refreshPollInterval = 5 * time.Millisecond
)

// resourceAges is an age for each resource.
type resourceAges [resourceCount]time.Duration

// maxAges returns the ages at which store data is too old to serve requests.
func (g *Gateway) maxAges() resourceAges {
	b := g.bounds.Load()
	return resourceAges{resourceConfig: maxAge(b.ConfigApply), resourceTargets: maxAge(b.Drain), resourceEvacuations: maxAge(b.Evacuate)}
}

// maxAge returns the bound less the reserve, but at least half of the bound.
func maxAge(bound time.Duration) time.Duration { return max(bound-stalenessReserve, bound/2) }

// freshness connects request handlers, which need recent store data, with the control
// loop and the readers, which provide it. It is safe for concurrent use.
type freshness struct {
	mu               sync.Mutex
	confirmed        [resourceCount]time.Time     // when the store confirmed the data in force
	storeUnavailable bool                         // the store doesn't respond; requests don't wait for it
	changed          chan struct{}                // closed and replaced when one of the two above changes
	lastRequest      time.Time                    // arrival of the last request
	waitStart        [resourceCount]time.Time     // when the first request began to wait for a confirmation
	wakeups          [resourceCount]chan struct{} // wake the readers
}

func newFreshness() *freshness {
	f := &freshness{changed: make(chan struct{})}
	for r := range f.wakeups {
		f.wakeups[r] = make(chan struct{}, 1)
	}
	return f
}

// update sets the control loop's state and wakes waiting requests if it has changed.
func (f *freshness) update(confirmed [resourceCount]time.Time, storeUnavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.confirmed == confirmed && f.storeUnavailable == storeUnavailable {
		return
	}
	f.confirmed, f.storeUnavailable = confirmed, storeUnavailable
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordRequest records a request. It returns the resources that the request should wait
// for, and a channel that is closed at the next change.
func (f *freshness) recordRequest(now time.Time, maxAges resourceAges) (wait []resource, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequest = now
	for r, confirmed := range f.confirmed {
		if f.storeUnavailable || confirmed.IsZero() || now.Sub(confirmed) < maxAges[r] {
			f.waitStart[r] = time.Time{}
			continue
		}
		if f.waitStart[r].IsZero() {
			f.waitStart[r] = now
		}
		if now.Sub(f.waitStart[r]) < maxRefreshWait {
			wait = append(wait, resource(r))
		}
	}
	return wait, f.changed
}

// hasCallers reports whether a request arrived within recentRequestWindow.
func (f *freshness) hasCallers(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastRequest.IsZero() && now.Sub(f.lastRequest) < recentRequestWindow
}

// age returns the time since the store confirmed a resource. It is the longest possible
// duration if the store never has.
func (f *freshness) age(now time.Time, r resource) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.confirmed[r])
}

// wakeReaders makes the readers of these resources read now.
func (f *freshness) wakeReaders(resources []resource) {
	for _, r := range resources {
		select {
		case f.wakeups[r] <- struct{}{}:
		default:
		}
	}
}

// awaitFresh makes a request wait until the store data is recent enough to serve it, for
// maxRefreshWait at the most.
func (g *Gateway) awaitFresh(ctx context.Context, arrived time.Time, id string) {
	maxAges := g.maxAges()
	wait, changed := g.freshness.recordRequest(arrived, maxAges)
	if len(wait) == 0 {
		return
	}
	g.instruments.freshnessWaits.Inc(1)
	awaited := wait
	defer func() {
		g.log.WithFields(log.Fields{
			logs.FieldRequest: id, "for": resourceNames(awaited), "ms": time.Since(arrived).Milliseconds(),
		}).Info("request waited for newer knowledge")
	}()
	ticker := time.NewTicker(refreshPollInterval)
	defer ticker.Stop()
	for len(wait) > 0 {
		g.freshness.wakeReaders(wait)
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		wait, changed = g.freshness.recordRequest(time.Now(), maxAges)
	}
}

// resourceNames joins the names of resources for a log line.
func resourceNames(resources []resource) string {
	var names []string
	for _, r := range resources {
		names = append(names, resourceLabels[r])
	}
	return strings.Join(names, " ")
}
