package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// Entries that reach the store but not each other get a request that crashes targets. Guards
// against a quarantine that each of them starts alone, after crashLimit crashes of its own.
func TestQuarantineOfIsolatedEntries(t *testing.T) {
	const entryCount = 6
	w := newCrashWorld(t, worldConfig{targets: 8, attempts: 1}, crashOnPath)
	entries := startIsolatedEntries(w.world, entryCount)
	for i := range 2 * crashLimit * entryCount {
		entries[i%entryCount].call("GET", crashPath, "")
		time.Sleep(suspectRecordInterval)
		if w.crashes() >= crashLimit {
			break
		}
	}
	for _, e := range entries {
		w.waitFor("quarantined", func() bool { return len(e.control.quarantined(time.Now())) > 0 })
	}
	crashes := w.crashes()
	for _, e := range entries {
		w.c.Assert(e.call("GET", crashPath, "").status, qt.Equals, http.StatusServiceUnavailable)
	}
	w.c.Assert(w.crashes(), qt.Equals, crashes)
	w.c.Assert(crashes <= 2*crashLimit, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	w.c.Assert(entries[0].call("GET", "/a/other", "").status, qt.Equals, http.StatusOK)
}

// startRecordedEntry starts an isolated entry that has put a request in quarantine and recorded
// it in the store.
func startRecordedEntry(w *crashWorld) *entry {
	w.store.Put("entries", "e2", map[string]any{"front": "127.0.0.1:9", "peer": "127.0.0.1:1"})
	e := w.startEntry("e1").waitReady()
	w.waitFor("isolated", func() bool { return e.view.Load().isolated })
	w.waitFor("quarantined", func() bool {
		a := e.call("GET", crashPath, "")
		return a.status == http.StatusServiceUnavailable && a.header.Get("Plumpitch-Reason") == string(call.ReasonQuarantined)
	})
	w.waitFor("recorded", func() bool { return len(w.store.Names("suspects")) == 1 })
	time.Sleep(2 * suspectRecordInterval) // the record may have been written before the last crash
	return e
}

// An isolated entry is replaced. Guards against a new process that forgets the requests that
// the one before had recorded, and against records that stay after the isolation.
func TestSuspectRecordOutlivesRestart(t *testing.T) {
	w := newCrashWorld(t, worldConfig{targets: 8, attempts: 1}, crashOnPath)
	first := startRecordedEntry(w)
	crashes := w.crashes()
	first.stop()
	<-first.done
	next := w.startEntry("e1").waitReady()
	w.waitFor("both fingerprints are quarantined", func() bool { return len(next.control.quarantined(time.Now())) == 2 })
	w.c.Assert(next.call("GET", crashPath, "").status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(w.crashes(), qt.Equals, crashes)
	w.startEntry("e2")
	w.waitFor("record removed", func() bool { return len(w.store.Names("suspects")) == 0 })
}

// The record of an isolated entry is lost, as when the store is restored from an older copy.
// Guards against suspects that stay unknown to the others because nothing new has happened.
func TestLostSuspectRecordWrittenAgain(t *testing.T) {
	w := newCrashWorld(t, worldConfig{targets: 8, attempts: 1}, crashOnPath)
	startRecordedEntry(w)
	w.store.Delete("suspects", "e1")
	w.waitFor("recorded again", func() bool { return len(w.store.Names("suspects")) == 1 })
}
