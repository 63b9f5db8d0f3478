package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
)

// applyBound is how long a configuration may take until it is in force, from the store's
// acknowledgement to the operator.
const applyBound = 2 * time.Second

func (e *entry) version() route.Version {
	v := e.view.Load()
	if v.table == nil {
		return 0
	}
	return v.table.Config.Version
}

// Without a configuration an entry can't tell a route that doesn't exist from one that it hasn't
// received yet: it answers 503 and isn't ready.
func TestEntryWithoutConfiguration(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Down: true} })
	e := w.startEntry("a")
	a := e.call("GET", "/a/x", "")
	w.c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	rec := httptest.NewRecorder()
	e.auxHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/readiness", nil))
	w.c.Assert(rec.Code, qt.Equals, http.StatusServiceUnavailable)
	w.store.SetFaults(nil)
	e.waitReady()
}

// A change of the configuration must be in force within 2 s of its acknowledgement, even if the
// store's watches report no change and its history is dropped without an error to them.
func TestConfigurationChangeDespiteSilentWatch(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	w.store.PauseWatches(true)
	w.configure(worldConfig{})
	began := time.Now()
	w.store.Compact()
	time.AfterFunc(time.Second, func() { w.store.PauseWatches(false) })
	w.waitFor("the change in force", func() bool { return int(e.version()) == w.version })
	w.c.Assert(time.Since(began) < applyBound, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// An entry that starts during an outage of the store gets the configuration and targets from the
// seeds, so that its callers aren't refused until the store is back.
func TestStartDuringAnOutage(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	a := w.startEntry("a").waitReady()
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Down: true} })
	b := w.startEntry("b", a).waitReady()
	w.c.Assert(b.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	w.waitFor("both live", func() bool { return len(a.view.Load().live) == 2 && len(b.view.Load().live) == 2 })
}

// All entries start at once, as after a loss of all power. A few of them read the store and
// announce the data, so that not all call it at once. All must have the configuration and targets
// within half a second, so that their callers are served.
func TestStartTogether(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	began := time.Now()
	var entries []*entry
	for i := range 8 {
		entries = append(entries, w.startEntry(fmt.Sprint("e", i)))
	}
	for _, e := range entries {
		e.waitReady()
	}
	w.c.Assert(time.Since(began) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	// Each entry writes its record and lists the others: two calls. The rest are the
	// first reads, and those of the first entry in the order of readers.
	w.c.Assert(w.store.Calls() <= 2*len(entries)+8, qt.IsTrue, qt.Commentf("%d calls", w.store.Calls()))
}

// An entry's process is killed and restarts under the same name after its clock has gone back, so
// that the new start seems earlier than the known one. The other entries must accept it.
func TestStartAfterTheClockWentBack(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	a := w.startEntry("a").waitReady()
	boot := uint64(time.Now().UnixNano())
	b := w.startEntryAt("b", boot, a).waitReady()
	live := func(e *entry) func() bool { return func() bool { return len(e.view.Load().live) == 2 } }
	w.waitFor("both known", live(a))
	b.relay.Close()
	again := w.startEntryAt("b", boot-uint64(time.Hour), a).waitReady()
	began := time.Now()
	w.waitFor("the new start known", func() bool {
		for _, e := range a.view.Load().live {
			if e.Name == "b" && e.CallerAddress == again.self.CallerAddress {
				return true
			}
		}
		return false
	})
	w.c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	w.waitFor("both live", func() bool { return live(a)() && live(again)() })
}

// The store refuses the calls of one entry and serves the others. That entry must get the latest
// configuration and targets from the others.
func TestEntryRefusedByStore(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	a := w.startEntry("a").waitReady()
	b := w.startEntry("b").waitReady()
	w.waitFor("both entries live", func() bool { return len(a.view.Load().live) == 2 && len(b.view.Load().live) == 2 })
	w.store.SetFaults(refuseStoreCalls(b))
	time.Sleep(300 * time.Millisecond)
	w.configure(worldConfig{})
	began := time.Now()
	w.waitFor("the change in force at both", func() bool {
		return int(a.version()) == w.version && int(b.version()) == w.version
	})
	w.c.Assert(time.Since(began) < applyBound, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	k := w.startTarget("gowns")
	w.waitFor("the new target at both", func() bool { return a.hasTarget(k.ID) && b.hasTarget(k.ID) })
}

// refuseStoreCalls makes the store refuse the calls of one entry, by their User-Agent.
func refuseStoreCalls(e *entry) func(*http.Request) objects.Fault {
	return func(r *http.Request) objects.Fault {
		return objects.Fault{Down: r.Header.Get("User-Agent") == e.self.Name}
	}
}

// A target reports that it is leaving, or its record is deleted. No request may reach it later
// than 2 s after the store's acknowledgement.
func TestLeavingTargetGetsNothing(t *testing.T) {
	tests := []struct {
		name  string
		leave func(w *world)
	}{
		{"draining", func(w *world) { w.writeTarget(w.workers[0], "gowns", "draining") }},
		{"removed", func(w *world) { w.store.Delete("servers", w.workers[0].ID) }},
		{"removed in a gap of the history", func(w *world) {
			w.store.Delete("servers", w.workers[0].ID)
			w.store.Compact()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 2})
			e := w.startEntry("a").waitReady()
			tt.leave(w)
			left := time.Now()
			for time.Since(left) < 2500*time.Millisecond {
				e.call("GET", "/a/x", "")
			}
			for _, r := range w.workers[0].Runs() {
				w.c.Assert(r.StartedAt.Sub(left) < 2*time.Second, qt.IsTrue)
			}
			w.c.Assert(len(w.workers[1].Runs()) > 0, qt.IsTrue)
		})
	}
}

// The store returns an older configuration than before, as a stale read or a restored store
// would. The entry keeps the newer one.
func TestOlderConfigurationIgnored(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	w.configure(worldConfig{})
	e := w.startEntry("a").waitReady()
	w.version -= 2
	w.configure(worldConfig{})
	w.version++
	time.Sleep(1500 * time.Millisecond)
	w.c.Assert(int(e.version()), qt.Equals, 2)
}

// An entry reads a list that the store returns in several pages.
func TestListInPages(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 7})
	w.store.SetPageSize(3)
	e := w.startEntry("a").waitReady()
	w.waitFor("all targets", func() bool { return e.targetCount("gowns") == 7 })
}

// An outage of the store is longer than the lifetime of records, so that its list is empty
// afterwards. Callers must be served until the targets have written their records again. A target
// that doesn't do so is dropped.
func TestRecordsExpiredDuringOutage(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	e := w.startEntry("a").waitReady()
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Down: true} })
	time.Sleep(roster.OutageAge + 500*time.Millisecond)
	w.store.Delete("servers", w.workers[0].ID)
	w.store.Delete("servers", w.workers[1].ID)
	w.store.SetFaults(nil)
	returned := time.Now()
	for time.Since(returned) < 1500*time.Millisecond {
		w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	w.writeTarget(w.workers[1], "gowns", "ready")
	w.waitFor("the other target gone", func() bool { return !e.hasTarget(w.workers[0].ID) })
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	w.c.Assert(e.hasTarget(w.workers[1].ID), qt.IsTrue)
}

// A request that reaches an entry before the first response of the store is held for a moment and
// then served. If the store is unavailable it is refused soon, and later requests at once.
func TestRequestBeforeFirstStoreAnswer(t *testing.T) {
	tests := []struct {
		name   string
		fault  objects.Fault
		status int
	}{
		{"answers within 50 ms", objects.Fault{Delay: 12 * time.Millisecond}, http.StatusOK},
		{"store unavailable", objects.Fault{Down: true}, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1})
			w.store.SetFaults(func(*http.Request) objects.Fault { return tt.fault })
			e := w.startEntry("a")
			a := e.call("GET", "/a/x", "")
			w.c.Assert(a.status, qt.Equals, tt.status)
			w.c.Assert(a.took < 2*maxStartupWait, qt.IsTrue, qt.Commentf("%v", a.took))
			if tt.status == http.StatusOK {
				return
			}
			time.Sleep(startupWindow)
			a = e.call("GET", "/a/x", "")
			w.c.Assert(a.status, qt.Equals, tt.status)
			w.c.Assert(a.took < maxStartupWait/2, qt.IsTrue, qt.Commentf("%v", a.took))
		})
	}
}
