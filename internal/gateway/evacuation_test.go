package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// evacuateBound is how long after the store's acknowledgement of an evacuation a request may
// still reach a target of that failure domain.
const evacuateBound = 2 * time.Second

// newWorldIn returns a world with one target in each of these failure domains, in this order,
// and with evacuations enabled.
func newWorldIn(t *testing.T, places ...string) *world {
	w := newWorld(t, worldConfig{targets: len(places)})
	w.evacuate = evacuateBound
	for i, k := range w.workers {
		w.store.PutTarget(objects.Target{ID: k.ID, Address: k.Address(), Service: "gowns", Place: places[i], Slots: k.Slots})
	}
	return w
}

// runsAfter returns the number of runs of a target that began after a time.
func (w *world) runsAfter(target int, at time.Time) (n int) {
	for _, r := range w.workers[target].Runs() {
		if r.StartedAt.After(at) {
			n++
		}
	}
	return n
}

// callFor calls the entries in turn, some hundred times a second, and checks the status.
func callFor(d time.Duration, status int, entries ...*entry) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, e := range entries {
			e.w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, status)
		}
	}
}

// A failure domain is evacuated and the evacuation ends; then it is evacuated, the evacuation
// ends and it is evacuated again, all at once. All calls must succeed. After the bound an
// evacuated domain gets no requests, and after the end of its evacuation it gets requests again.
// An evacuation of an unknown domain, with a record that can't be decoded, changes nothing.
func TestEvacuation(t *testing.T) {
	t.Parallel()
	w := newWorldIn(t, "hall", "annex")
	entries := startEntries(w, 3)
	w.store.Put("evacuations", "nowhere", []int{1})
	w.store.Evacuate("hall")
	at := time.Now()
	callFor(evacuateBound+time.Second, http.StatusOK, entries...)
	w.c.Assert(w.runsAfter(0, at.Add(evacuateBound)), qt.Equals, 0)
	w.store.EndEvacuation("hall")
	w.waitFor("the domain in use again", func() bool {
		for _, e := range entries {
			e.call("GET", "/a/x", "")
		}
		return w.runsAfter(0, at.Add(evacuateBound)) > 0
	})
	w.store.Evacuate("hall")
	w.store.EndEvacuation("hall")
	w.store.Evacuate("hall")
	at = time.Now()
	callFor(evacuateBound+500*time.Millisecond, http.StatusOK, entries...)
	w.c.Assert(w.runsAfter(0, at.Add(evacuateBound)), qt.Equals, 0)
	s, err := entries[0].Status(t.Context())
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(s.Evacuations, qt.HasLen, 2)
	w.c.Assert(s.Evacuations[0].Place, qt.Equals, "hall")
}

// All failure domains are evacuated. Requests are refused at once with a Retry-After, and none is
// held until its deadline.
func TestEvacuationOfAll(t *testing.T) {
	w := newWorldIn(t, "hall", "annex")
	e := startEntries(w, 1)[0]
	w.store.Evacuate("hall")
	w.store.Evacuate("annex")
	w.waitFor("a refusal", func() bool { return e.call("GET", "/a/x", "").status == http.StatusServiceUnavailable })
	a := e.call("GET", "/a/x", "")
	w.c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(a.took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))
	w.c.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// An entry that starts during an evacuation knows the targets of the evacuated domain at once. It
// must send them no request, also before it knows of the evacuation.
func TestEntryThatStartsDuringAnEvacuation(t *testing.T) {
	w := newWorldIn(t, "hall", "annex")
	first := startEntries(w, 1)[0]
	w.store.Evacuate("hall")
	w.waitFor("the evacuation in force", func() bool {
		s, err := first.Status(t.Context())
		return err == nil && len(s.Evacuations) == 1
	})
	at := time.Now()
	for i := range 5 {
		e := w.startEntry(fmt.Sprint("late", i), first)
		for range 50 {
			e.call("GET", "/a/x", "")
		}
		w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	}
	w.c.Assert(w.runsAfter(0, at), qt.Equals, 0)
}

// An entry starts among others of a release without evacuations, and pulls the targets from them.
// It must not use these before it has read the evacuations from the store.
func TestNoTargetsBeforeEvacuationsKnown(t *testing.T) {
	c := parkedControl(t)
	b := *c.gateway.bounds.Load()
	b.Evacuate = evacuateBound
	c.gateway.bounds.Store(&b)
	now := c.started.Add(100 * time.Millisecond)
	c.confirm(now, resourceConfig, now)
	pullFinished{askedAt: now, result: relay.PullResult{
		Config: []byte(`{"version":"r1","routes":{},"services":{"gowns":{"healthPath":"/health"}},` +
			`"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeout":"1s","idleTimeout":"1s"}}`),
		Targets: relay.TargetsListed, Changes: []roster.Change[slot.Target]{{Item: item("a", 5)}}, Revision: 5, LastChange: 5,
	}}.apply(now, c)
	c.receiveKnowledge(now, "127.0.0.1:1", relay.Knowledge{Config: 1, Targets: 5, EvacuationsAge: unconfirmedAge})
	c.publishIfChanged(now)
	qt.Assert(t, c.gateway.view.Load().initialized, qt.IsFalse)
	qt.Assert(t, c.serviceTargetCount(), qt.Equals, 0)
	evacuationsListed{revision: 6, askedAt: now}.apply(now, c)
	c.publishIfChanged(now)
	qt.Assert(t, c.gateway.view.Load().initialized, qt.IsTrue)
	qt.Assert(t, c.serviceTargetCount(), qt.Equals, 1)
}

// serviceTargetCount returns the number of targets that the services have.
func (c *control) serviceTargetCount() (n int) {
	for _, sv := range c.services {
		n += sv.targetCount()
	}
	return n
}

// A failure domain is evacuated, the store fails, and the evacuation is deleted during the outage.
// The domain must get no requests until the store is back, and gets requests again then.
func TestEvacuationOutlastsAnOutage(t *testing.T) {
	t.Parallel()
	w := newWorldIn(t, "hall", "annex")
	entries := startEntries(w, 2)
	w.store.Evacuate("hall")
	at := time.Now()
	callFor(evacuateBound, http.StatusOK, entries...)
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Down: true} })
	callFor(readSchedule[resourceEvacuations].wait+100*time.Millisecond, http.StatusOK, entries...) // until no watch is open any more
	w.store.EndEvacuation("hall")
	callFor(evacuateBound, http.StatusOK, entries...)
	w.c.Assert(w.runsAfter(0, at.Add(evacuateBound)), qt.Equals, 0)
	w.store.SetFaults(nil)
	w.waitFor("the domain in use again", func() bool {
		entries[0].call("GET", "/a/x", "")
		return w.runsAfter(0, at.Add(evacuateBound)) > 0
	})
}

// Nine of ten entries lose the store without notice, among them all that read evacuations for the
// others, and a failure domain is evacuated at that moment. The tenth entry can still reach the
// store, and must send the domain no requests after the bound.
func TestServingEntryEvacuatesInTime(t *testing.T) {
	t.Parallel()
	w := newWorldIn(t, "hall", "annex")
	last := w.lastReader(startEntries(w, 10), resourceEvacuations)
	callFor(readSchedule[resourceEvacuations].wait, http.StatusOK, last) // until no watch is open any more
	w.store.Evacuate("hall")
	at := time.Now()
	callFor(evacuateBound+time.Second, http.StatusOK, last)
	w.c.Assert(w.runsAfter(0, at.Add(evacuateBound)), qt.Equals, 0)
}

// If the settings have no bound for evacuations, there are none, and the store isn't asked for
// them: each call costs money.
func TestEvacuationsNotReadWithoutBound(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	asked := make(chan string, 100)
	w.store.SetFaults(func(r *http.Request) objects.Fault {
		if r.URL.Path == "/objects/evacuations" {
			asked <- r.URL.Path
		}
		return objects.Fault{}
	})
	e := w.startEntry("a").waitReady()
	time.Sleep(500 * time.Millisecond)
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	w.c.Assert(asked, qt.HasLen, 0)
}

// An entry that the store doesn't serve keeps trying to read the targets, and doesn't read the
// evacuations meanwhile: if all entries did, a busy store would have to refuse a third more calls.
// If it doesn't read the targets, it reads the evacuations.
func TestEvacuationReadsWhileStoreUnavailable(t *testing.T) {
	tests := []struct {
		name    string
		refused bool          // the store doesn't serve the entry
		targets time.Duration // time since their last confirmation
		due     bool
	}{
		{"the store is available", false, time.Second, true},
		{"store unavailable, the targets are read", true, 10 * time.Second, false},
		{"store unavailable, others confirm the targets", true, 100 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := parkedControl(t)
			b := *c.gateway.bounds.Load()
			b.Evacuate = 5 * time.Second
			c.gateway.bounds.Store(&b)
			now := c.started.Add(time.Minute)
			c.confirm(now, resourceTargets, now.Add(-tt.targets))
			c.confirm(now, resourceEvacuations, now.Add(-6*time.Second))
			_, _ = c.gateway.freshness.recordRequest(now, c.gateway.maxAges())
			c.storeUnavailable = tt.refused
			q := turnRequest{resource: resourceEvacuations, reply: make(chan readTurn, 1)}
			q.apply(now, c)
			qt.Assert(t, (<-q.reply).due, qt.Equals, tt.due)
		})
	}
}
