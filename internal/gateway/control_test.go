package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/platform"
)

// An entry whose VM is gone doesn't delete its record. Another entry deletes it at the second
// cleaning, but neither the record of an entry that has restarted meanwhile nor that of a live
// one.
func TestDeadEntryRecordRemoved(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	w.store.Put("entries", "dead", map[string]any{"front": "127.0.0.1:1", "peer": "127.0.0.1:2"})
	w.store.Put("entries", "anew", map[string]any{"front": "127.0.0.1:1", "peer": "127.0.0.1:2"})
	e := w.startEntry("a").waitReady()
	records := &enroller{gateway: e.Gateway}
	records.cleanRecords(t.Context())
	w.c.Assert(w.store.Names("entries"), qt.HasLen, 3)
	w.store.Put("entries", "anew", map[string]any{"front": "127.0.0.1:1", "peer": "127.0.0.1:2", "boot": 7})
	records.cleanRecords(t.Context())
	names := w.store.Names("entries")
	slices.Sort(names)
	w.c.Assert(names, qt.DeepEquals, []string{"a", "anew"})
}

// Most entries are found through the seeds and have no record in the store. A few have one, so
// that an entry finds the others even if no seed of its settings is alive.
func TestFewEntriesHaveRecords(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	first := w.startEntry("a").waitReady()
	entries := []*entry{first}
	for i := range 5 {
		entries = append(entries, w.startEntry(fmt.Sprint("b", i), first).waitReady())
	}
	w.waitFor("all live", func() bool { return len(first.view.Load().live) == 6 })
	w.waitFor("some records", func() bool { return len(w.store.Names("entries")) >= recordedEntries })
	time.Sleep(recordCheckInterval)
	w.c.Assert(len(w.store.Names("entries")) <= recordedEntries+1, qt.IsTrue, qt.Commentf("%v", w.store.Names("entries")))
	for _, e := range entries {
		e.stop()
	}
	w.waitFor("no record left", func() bool { return len(w.store.Names("entries")) == 0 })
}

// One request crashes each target that runs it, and its caller retries it again and again at two
// entries. Together they may run it at most twice the crash limit of one entry, and must then
// refuse it, while other requests are served.
func TestRequestThatCrashesTargets(t *testing.T) {
	w := newCrashWorld(t, worldConfig{targets: 6}, crashOnPath)
	entries := startEntries(w.world, 2)
	for i := range 20 {
		entries[i%2].call("GET", crashPath, "same")
		time.Sleep(60 * time.Millisecond)
	}
	w.c.Assert(w.crashes() <= 2*crashLimit, qt.IsTrue, qt.Commentf("%d targets ended", w.crashes()))
	w.c.Assert(entries[0].call("GET", crashPath, "same").status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(entries[0].call("GET", "/a/other", "").status, qt.Equals, http.StatusOK)
}

// The settings change while the process runs: valid ones take effect, and invalid ones leave
// the current ones in force.
func TestReload(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	s := e.cfg.Settings
	s.Bounds.Grace = 9 * time.Second
	e.Reload(s, nil)
	w.c.Assert(e.bounds.Load().Grace, qt.Equals, 9*time.Second)
	_, err := platform.ParseSettings(nil)
	e.Reload(platform.Settings{}, err)
	w.c.Assert(e.bounds.Load().Grace, qt.Equals, 9*time.Second)
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
}

// During an outage of the store each entry serves requests from its cached data, and the entries
// together make few calls to the store.
func TestStoreOutage(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	var entries []*entry
	for _, name := range []string{"a", "b", "c", "d"} {
		entries = append(entries, w.startEntry(name).waitReady())
	}
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Down: true} })
	before := w.store.Calls()
	for range 30 {
		for _, e := range entries {
			w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
		}
		time.Sleep(100 * time.Millisecond)
	}
	calls := w.store.Calls() - before
	w.c.Assert(calls < 80, qt.IsTrue, qt.Commentf("%d calls in three seconds", calls))
}
