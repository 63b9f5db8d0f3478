package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// drainBound is how long after the change in the store a leaving target may still get
// requests.
const drainBound = 2 * time.Second

// Nine of ten entries, among them all that read the store for the others, get no more
// responses from the store. A target's record is removed at that moment. The tenth entry
// has callers and still reaches the store, so it must stop using the target within the
// bound.
func TestEntryWithCallersStopsUsingRemovedTarget(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration // until the first request
	}{
		{"serving all the while", 0},
		{"first request just after the bound", drainBound + 50*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2})
			last := w.lastReader(startEntries(w, 10), resourceTargets)
			w.store.Delete("servers", w.workers[0].ID)
			left := time.Now()
			time.Sleep(tt.idle)
			for time.Since(left) < drainBound+time.Second {
				w.c.Assert(last.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			}
			for _, r := range w.workers[0].Runs() {
				w.c.Assert(r.StartedAt.Sub(left) < drainBound, qt.IsTrue, qt.Commentf("%v", r.StartedAt.Sub(left)))
			}
			w.c.Assert(len(w.workers[1].Runs()) > 0, qt.IsTrue)
		})
	}
}

// A request waits for a target of a service that a new configuration removes, and then the
// target's record is removed. The balancer of the removed service must drop the target, or
// it would still send the request there.
func TestLeavingTargetOfADroppedService(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	for _, k := range w.workers {
		k.SetServiceTime(5 * time.Second)
	}
	sv := e.view.Load().services["gowns"]
	for i := range w.workers[0].Slots + 1 {
		go e.callWith(t.Context(), fmt.Sprint("q", i), "GET", "/a/x", "")
	}
	hasPending := func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		pending, _ := sv.balancer.RequestCounts()
		return pending > 0
	}
	w.waitFor("a pending request", hasPending)
	w.version++
	w.store.PutConfig(w.version, []objects.Route{{
		Name: "r-a", Host: "veil.example", Prefix: "/a/", Timeout: "2s", TargetLatency: "1s", Attempts: 3, Service: "veils",
	}}, []string{"veils"})
	w.waitFor("the new configuration", func() bool { return int(e.version()) == w.version })
	w.c.Assert(hasPending(), qt.IsTrue)
	w.store.Delete("servers", w.workers[0].ID)
	w.waitFor("the target is removed from the balancer", func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return !sv.balancer.HasTarget(w.workers[0].ID)
	})
}

// A stopping entry serves requests for three more seconds, and a target is removed in that
// time. The entry no longer reads the store for the others and the directory no longer
// lists it, but it must still stop using the target within the bound.
func TestStoppingEntryStopsUsingRemovedTarget(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	for _, e := range startEntries(w, 3) {
		b := *e.bounds.Load()
		b.Grace = 6 * time.Second
		e.bounds.Store(&b)
		if e.self.Name != "e0" {
			continue
		}
		e.stop()
		time.Sleep(100 * time.Millisecond)
		w.store.Delete("servers", w.workers[0].ID)
		left := time.Now()
		for time.Since(left) < drainBound+500*time.Millisecond {
			w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
		}
		for _, r := range w.workers[0].Runs() {
			w.c.Assert(r.StartedAt.Sub(left) < drainBound, qt.IsTrue, qt.Commentf("%v", r.StartedAt.Sub(left)))
		}
		w.c.Assert(<-e.done, qt.IsNil)
	}
}

// lastReader returns the entry that comes last in the order of readers of a resource. It
// makes the store stop responding to all other entries.
func (w *world) lastReader(entries []*entry, d resource) (last *entry) {
	readers := byReaderRank(entries, d)
	last = readers[len(readers)-1]
	cut := make(map[string]bool)
	for _, e := range readers[:len(readers)-1] {
		cut[e.self.Name] = true
	}
	w.store.SetFaults(func(r *http.Request) objects.Fault { return objects.Fault{Silent: cut[r.Header.Get("User-Agent")]} })
	return last
}

// Nine of ten entries get no more responses from the store, and then a new configuration
// is written. The tenth entry has callers and still reaches the store, so it must apply
// the configuration within the bound.
func TestEntryWithCallersAppliesConfigurationInTime(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	last := w.lastReader(startEntries(w, 10), resourceConfig)
	time.Sleep(readSchedule[resourceConfig].wait) // until no watch is open
	w.configure(worldConfig{})
	acknowledged := time.Now()
	for int(last.version()) != w.version {
		w.c.Assert(time.Since(acknowledged) < applyBound, qt.IsTrue, qt.Commentf("%v", time.Since(acknowledged)))
		w.c.Assert(last.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	}
}
