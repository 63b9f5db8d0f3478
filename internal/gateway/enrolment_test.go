package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a restore from a copy that lacks the entries' records, the entries write them again, so
// that entries that start find the others.
func TestEntryRecordsAfterRestore(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	c := w.store.Snapshot()
	entries := startEntries(w, 4)
	records := func() int { return len(w.store.Names("entries")) }
	w.waitFor("records of the entries", func() bool { return records() >= recordedEntries })
	n := records()
	w.store.Restore(c)
	restored := time.Now()
	w.c.Assert(records(), qt.Equals, 0)
	w.waitFor("records after the restore", func() bool { return records() >= min(n, recordedEntries) })
	w.c.Assert(time.Since(restored) < syncBound, qt.IsTrue, qt.Commentf("%v", time.Since(restored)))
	w.waitSynced(entries, time.Now(), "i-0")
}
