package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// syncBound is how long after a change or a restore all entries may take to have the same state.
const syncBound = 2 * time.Second

// advanceRevisions writes to the store so often that writes after a restore get revisions that were
// already used before it.
func (w *world) advanceRevisions() {
	for range 50 {
		w.store.Put("other", "x", struct{}{})
	}
}

// waitSynced waits until all entries have the latest configuration and exactly these targets. The
// test fails if that takes longer than syncBound after since.
func (w *world) waitSynced(entries []*entry, since time.Time, targets ...string) {
	w.c.Helper()
	for _, e := range entries {
		for !e.synced(targets) {
			w.c.Assert(time.Since(since) < syncBound, qt.IsTrue, qt.Commentf("%s: version %d of %d, %d targets of %d", e.self.Name, e.version(), w.version, e.targetCount("gowns"), len(targets)))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (e *entry) synced(targets []string) bool {
	if int(e.version()) != e.w.version || e.targetCount("gowns") != len(targets) {
		return false
	}
	for _, id := range targets {
		if !e.hasTarget(id) {
			return false
		}
	}
	return true
}

// Writes after a restore get revisions that were already used before it. Entries must not take them
// for older than the known state, or they would miss them until the store's revisions have caught
// up.
func TestChangesAfterRestore(t *testing.T) {
	tests := []struct {
		name string
		cut  bool // one entry is cut off from the store
		more int  // further restores
	}{
		{"one restore", false, 0},
		{"an entry is cut off from the store", true, 0},
		{"three restores", false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2})
			entries := startEntries(w, 3)
			if tt.cut {
				w.store.SetFaults(refuseStoreCalls(byReaderRank(entries, resourceTargets)[0]))
			}
			c := w.store.Snapshot()
			w.advanceRevisions()
			time.Sleep(1500 * time.Millisecond) // until all have the latest revision
			for range 1 + tt.more {
				time.Sleep(300 * time.Millisecond)
				w.store.Restore(c)
			}
			restored := time.Now()
			k := w.startTarget("gowns")
			w.configure(worldConfig{timeout: "3s"})
			w.waitSynced(entries, restored, "i-0", "i-1", k.ID)
			w.store.Delete("servers", "i-0")
			removed := time.Now()
			w.waitSynced(entries, removed, "i-1", k.ID)
		})
	}
}

// A configuration that is newer than the copy that the store is restored from stays in force until
// a newer one is written.
func TestNewerConfigurationKeptAfterRestore(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	entries := startEntries(w, 3)
	c := w.store.Snapshot()
	w.configure(worldConfig{timeout: "3s"})
	w.waitSynced(entries, time.Now(), "i-0")
	w.store.Restore(c)
	for since := time.Now(); time.Since(since) < syncBound; time.Sleep(5 * time.Millisecond) {
		for _, e := range entries {
			w.c.Assert(int(e.version()), qt.Equals, w.version)
		}
	}
	w.configure(worldConfig{timeout: "4s"})
	w.waitSynced(entries, time.Now(), "i-0")
}

// The changes that targets and the operator wrote after the copy are lost by a restore. They must
// stay in effect until they are written again.
func TestLostWritesStayEffectiveAfterRestore(t *testing.T) {
	const slots = 2 // of each target
	tests := []struct {
		name string
		// lost writes a change after the copy, and again writes it once more after the restore.
		lost, again func(w *world)
		used        []int // targets that get requests after the restore, the others get none
	}{
		{"a target is added", func(w *world) { w.startTarget("gowns") }, func(w *world) { w.writeTarget(w.workers[2], "gowns", "ready") }, []int{0, 2}},
		{"a target leaves", func(w *world) { w.writeTarget(w.workers[0], "gowns", "draining") }, func(w *world) { w.writeTarget(w.workers[0], "gowns", "draining") }, nil},
		{"a target is removed", func(w *world) { w.store.Delete("servers", "i-0") }, func(w *world) { w.store.Delete("servers", "i-0") }, nil},
		{"a place is evacuated", func(w *world) { w.store.Evacuate("hall") }, func(w *world) { w.store.Evacuate("hall") }, nil},
		{"an evacuation is withdrawn", func(w *world) { w.store.EndEvacuation("annex") }, func(w *world) { w.store.EndEvacuation("annex") }, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2})
			w.evacuate = 5 * time.Second
			w.store.Evacuate("annex")
			w.store.PutTarget(objects.Target{ID: "i-1", Address: w.workers[1].Address(), Service: "gowns", Place: "annex", Slots: slots})
			entries := startEntries(w, 3)
			c := w.store.Snapshot()
			tt.lost(w)
			w.advanceRevisions()
			for _, k := range w.workers {
				k.SetServiceTime(10 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond) // until all have the changes
			w.store.Restore(c)
			restored := time.Now()
			// Times since the restore: all entries have detected it, and the lost write is repeated.
			const detected, rewritten = time.Second, 1800 * time.Millisecond
			time.AfterFunc(rewritten, func() { tt.again(w) })
			before := make([]int, len(w.workers))
			for i, k := range w.workers {
				before[i] = len(k.Runs())
			}
			states := make(map[string]int) // of the targets, between detected and rewritten
			for time.Since(restored) < syncBound+time.Second {
				for _, e := range entries {
					e.callAtOnce(slots + 1) // more than one target has slots for
					if since := time.Since(restored); since > detected && since < rewritten {
						e.countStates(states)
					}
				}
			}
			used := make(map[int]bool)
			for _, i := range tt.used {
				used[i] = true
			}
			for i, k := range w.workers {
				n := len(k.Runs()) - before[i]
				w.c.Check(n > 0, qt.Equals, used[i], qt.Commentf("target %d got %d", i, n))
				meanwhile := runsSince(k.Runs(), restored.Add(detected)) - runsSince(k.Runs(), restored.Add(rewritten))
				w.c.Check(meanwhile > 0, qt.Equals, used[i], qt.Commentf("target %d got %d before it was written again: %v", i, meanwhile, states))
			}
		})
	}
}

// callAtOnce sends n requests at the same time.
func (e *entry) callAtOnce(n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { e.callWith(context.Background(), fmt.Sprint("at-once-", i), "GET", "/a/x", "") })
	}
	all.Wait()
}

// countStates adds the current states of the entry's targets to counts.
func (e *entry) countStates(counts map[string]int) {
	sv := e.view.Load().services["gowns"]
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, r := range sv.balancer.Explain(time.Now()) {
		counts[r.ID+" "+string(r.State)]++
	}
}

// Answers of the store with an era that is missing, invalid or decreasing must not make entries drop
// known data or miss later changes.
func TestInvalidEra(t *testing.T) {
	for _, era := range []string{"-", "old", "-3", "0", "1.5"} {
		t.Run(era, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2})
			c := w.store.Snapshot()
			w.store.Restore(c) // era 2
			entries := startEntries(w, 2)
			w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Era: era} })
			time.Sleep(time.Second)
			w.waitSynced(entries, time.Now(), "i-0", "i-1")
			w.c.Assert(entries[0].call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			w.store.SetFaults(nil)
			k := w.startTarget("gowns")
			w.waitFor("the new target", func() bool { return entries[0].hasTarget(k.ID) && entries[1].hasTarget(k.ID) })
		})
	}
}
