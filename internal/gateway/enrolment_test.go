package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After a restore from a copy that lacks the entries' records, the entries write them again, so
// that entries that start find the others.
func TestEnrolmentAfterARestore(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	c := w.store.Copy()
	entries := several(w, 4)
	records := func() int { return len(w.store.Names("entries")) }
	w.until("records of the entries", func() bool { return records() >= recorded })
	n := records()
	w.store.Restore(c)
	restored := time.Now()
	w.c.Assert(records(), qt.Equals, 0)
	w.until("records after the restore", func() bool { return records() >= min(n, recorded) })
	w.c.Assert(time.Since(restored) < agreeTime, qt.IsTrue, qt.Commentf("%v", time.Since(restored)))
	w.agree(entries, time.Now(), "i-0")
}
