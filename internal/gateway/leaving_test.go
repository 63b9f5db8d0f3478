package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// drain is how long after the store's word a request may still reach a target
// that leaves.
const drain = 2 * time.Second

// Nine of ten entries lose the store without a word, among them all that read it
// for the others. A target's record is removed at that moment. The tenth, which
// has callers, must have stopped sending to it when the bound is over: its own way
// to the store is free.
func TestServingEntryIsInTime(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration // until the first request
	}{
		{"serving all the while", 0},
		{"first request just after the bound", drain + 50*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, site{targets: 2})
			last := w.lastReader(several(w, 10), dutyTargets)
			w.store.Delete("servers", w.workers[0].ID)
			left := time.Now()
			time.Sleep(tt.idle)
			for time.Since(left) < drain+time.Second {
				w.c.Assert(last.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			}
			for _, r := range w.workers[0].Runs() {
				w.c.Assert(r.At.Sub(left) < drain, qt.IsTrue, qt.Commentf("%v", r.At.Sub(left)))
			}
			w.c.Assert(len(w.workers[1].Runs()) > 0, qt.IsTrue)
		})
	}
}

// A request waits for a target of a service while a new configuration drops the
// service, and the target leaves after that. The request must not be sent there.
func TestLeavingTargetOfADroppedService(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	e := w.entry("a").settled()
	for _, k := range w.workers {
		k.Work(5 * time.Second)
	}
	sv := e.view.Load().services["gowns"]
	for i := range w.workers[0].Slots + 1 {
		go e.callWith(t.Context(), fmt.Sprint("q", i), "GET", "/a/x", "")
	}
	waits := func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		seeking, _ := sv.book.Len()
		return seeking > 0
	}
	w.until("a request that waits", waits)
	w.version++
	w.store.PutConfig(w.version, []objects.Route{{
		Name: "r-a", Host: "veil.example", Prefix: "/a/", Timeout: "2s", Goal: "1s", Attempts: 3, Service: "veils",
	}}, []string{"veils"})
	w.until("the new configuration", func() bool { return int(e.version()) == w.version })
	w.c.Assert(waits(), qt.IsTrue)
	w.store.Delete("servers", w.workers[0].ID)
	w.until("the target gone, or nothing left that waits", func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return !sv.book.Has(w.workers[0].ID)
	})
}

// An entry is told to stop and goes on serving for three seconds. A target leaves
// meanwhile: though nobody is sent to this entry any more and it reads for nobody,
// its requests must keep away from the target as all others do.
func TestStoppingEntryIsInTime(t *testing.T) {
	w := newWorld(t, site{targets: 2})
	for _, e := range several(w, 3) {
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
		for time.Since(left) < drain+500*time.Millisecond {
			w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
		}
		for _, r := range w.workers[0].Runs() {
			w.c.Assert(r.At.Sub(left) < drain, qt.IsTrue, qt.Commentf("%v", r.At.Sub(left)))
		}
		w.c.Assert(<-e.done, qt.IsNil)
	}
}

// lastReader cuts all of the entries off from the store, without a word, but the one
// that comes last in the order of those that read for the others. It returns that one.
func (w *world) lastReader(entries []*entry, d duty) (last *entry) {
	readers := ranked(entries, d)
	last = readers[len(readers)-1]
	cut := make(map[string]bool)
	for _, e := range readers[:len(readers)-1] {
		cut[e.self.Name] = true
	}
	w.store.Fail(func(r *http.Request) objects.Fault { return objects.Fault{Silent: cut[r.Header.Get("User-Agent")]} })
	return last
}

// Nine of ten entries lose the store without a word while a configuration comes that
// moves a route. The tenth, which has callers, must serve them by the new one within
// the bound: its own way to the store is free.
func TestServingEntryHasTheConfigurationInTime(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	last := w.lastReader(several(w, 10), dutyConfig)
	time.Sleep(patience[dutyConfig].wait) // until no watch is open any more
	w.configure(site{})
	acknowledged := time.Now()
	for int(last.version()) != w.version {
		w.c.Assert(time.Since(acknowledged) < apply, qt.IsTrue, qt.Commentf("%v", time.Since(acknowledged)))
		w.c.Assert(last.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	}
}
