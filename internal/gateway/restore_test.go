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

// agreeTime is how long after a restore all entries are as well informed as before.
const agreeTime = 2 * time.Second

// lose writes so much to the store that what is written after a restore gets revisions
// that were given out before.
func (w *world) lose() {
	for range 50 {
		w.store.Put("other", "x", struct{}{})
	}
}

// agree waits until all entries know that configuration and these targets, and nothing
// else.
func (w *world) agree(entries []*entry, since time.Time, targets ...string) {
	w.c.Helper()
	for _, e := range entries {
		for !e.agrees(targets) {
			w.c.Assert(time.Since(since) < agreeTime, qt.IsTrue, qt.Commentf("%s: version %d of %d, %d targets of %d", e.self.Name, e.version(), w.version, e.size("gowns"), len(targets)))
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (e *entry) agrees(targets []string) bool {
	if int(e.version()) != e.w.version || e.size("gowns") != len(targets) {
		return false
	}
	for _, id := range targets {
		if !e.hasTarget(id) {
			return false
		}
	}
	return true
}

// What is written after a restore has revisions that were given out before. Taken for
// older than what is known, it is missed until the store has caught up.
func TestNothingIsMissedAfterARestore(t *testing.T) {
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
			w := newWorld(t, site{targets: 2})
			entries := several(w, 3)
			if tt.cut {
				w.store.Fail(turnAway(ranked(entries, dutyTargets)[0]))
			}
			c := w.store.Copy()
			w.lose()
			time.Sleep(1500 * time.Millisecond) // until all know how far the history goes
			for range 1 + tt.more {
				time.Sleep(300 * time.Millisecond)
				w.store.Restore(c)
			}
			restored := time.Now()
			k := w.target("gowns")
			w.configure(site{timeout: "3s"})
			w.agree(entries, restored, "i-0", "i-1", k.ID)
			w.store.Delete("servers", "i-0")
			removed := time.Now()
			w.agree(entries, removed, "i-1", k.ID)
		})
	}
}

// A configuration is newer than the copy that the store is restored from. It stays in
// force until a newer one comes.
func TestConfigurationOutlivesARestore(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	entries := several(w, 3)
	c := w.store.Copy()
	w.configure(site{timeout: "3s"})
	w.agree(entries, time.Now(), "i-0")
	w.store.Restore(c)
	for since := time.Now(); time.Since(since) < agreeTime; time.Sleep(5 * time.Millisecond) {
		for _, e := range entries {
			w.c.Assert(int(e.version()), qt.Equals, w.version)
		}
	}
	w.configure(site{timeout: "4s"})
	w.agree(entries, time.Now(), "i-0")
}

// What targets and the operator wrote in the lost seconds holds until they have written
// it again.
func TestLostWritesHoldAfterARestore(t *testing.T) {
	const slots = 2 // of each target
	tests := []struct {
		name string
		// lost is written after the copy, again is written once more after the restore.
		lost, again func(w *world)
		used        []int // targets that get requests after the restore, the others get none
	}{
		{"a target has come", func(w *world) { w.target("gowns") }, func(w *world) { w.record(w.workers[2], "gowns", "ready") }, []int{0, 2}},
		{"a target leaves", func(w *world) { w.record(w.workers[0], "gowns", "draining") }, func(w *world) { w.record(w.workers[0], "gowns", "draining") }, nil},
		{"a target has gone", func(w *world) { w.store.Delete("servers", "i-0") }, func(w *world) { w.store.Delete("servers", "i-0") }, nil},
		{"a place is evacuated", func(w *world) { w.store.Evacuate("hall") }, func(w *world) { w.store.Evacuate("hall") }, nil},
		{"a place is taken back", func(w *world) { w.store.TakeBack("annex") }, func(w *world) { w.store.TakeBack("annex") }, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, site{targets: 2})
			w.evacuate = 5 * time.Second
			w.store.Evacuate("annex")
			w.store.PutTarget(objects.Target{ID: "i-1", Address: w.workers[1].Address(), Service: "gowns", Place: "annex", Slots: slots})
			entries := several(w, 3)
			c := w.store.Copy()
			tt.lost(w)
			w.lose()
			for _, k := range w.workers {
				k.Work(10 * time.Millisecond)
			}
			time.Sleep(1500 * time.Millisecond) // until all know
			w.store.Restore(c)
			restored := time.Now()
			// All have heard of the restore by heard, and what was lost is written again after that.
			const heard, rewritten = time.Second, 1800 * time.Millisecond
			time.AfterFunc(rewritten, func() { tt.again(w) })
			before := make([]int, len(w.workers))
			for i, k := range w.workers {
				before[i] = len(k.Runs())
			}
			states := make(map[string]int) // of the targets, between heard and rewritten
			for time.Since(restored) < agreeTime+time.Second {
				for _, e := range entries {
					e.callAtOnce(slots + 1) // which no target takes alone
					if since := time.Since(restored); since > heard && since < rewritten {
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
				meanwhile := runsSince(k.Runs(), restored.Add(heard)) - runsSince(k.Runs(), restored.Add(rewritten))
				w.c.Check(meanwhile > 0, qt.Equals, used[i], qt.Commentf("target %d got %d before it was written again: %v", i, meanwhile, states))
			}
		})
	}
}

// callAtOnce makes that many calls at the same time.
func (e *entry) callAtOnce(n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { e.callWith(context.Background(), fmt.Sprint("at-once-", i), "GET", "/a/x", "") })
	}
	all.Wait()
}

// countStates counts in which states the entry has its targets.
func (e *entry) countStates(counts map[string]int) {
	sv := e.view.Load().services["gowns"]
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for _, r := range sv.book.Explain(time.Now()) {
		counts[r.ID+" "+string(r.State)]++
	}
}

// Answers with an era that is missing, can't be read or goes back cost nothing that is
// known, and entries go on hearing of changes.
func TestBadEra(t *testing.T) {
	for _, era := range []string{"-", "old", "-3", "0", "1.5"} {
		t.Run(era, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, site{targets: 2})
			c := w.store.Copy()
			w.store.Restore(c) // era 2
			entries := several(w, 2)
			w.store.Fail(func(*http.Request) objects.Fault { return objects.Fault{Era: era} })
			time.Sleep(time.Second)
			w.agree(entries, time.Now(), "i-0", "i-1")
			w.c.Assert(entries[0].call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			w.store.Fail(nil)
			k := w.target("gowns")
			w.until("the new target", func() bool { return entries[0].hasTarget(k.ID) && entries[1].hasTarget(k.ID) })
		})
	}
}
