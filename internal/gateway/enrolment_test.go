package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The record by which others find an entry is lost with the copy, and is written again.
func TestEnrolmentAfterARestore(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	c := w.store.Copy()
	entries := several(w, 4)
	records := func() int { return len(w.store.Names("entries")) }
	w.until("all on record that have to be", func() bool { return records() >= recorded })
	n := records()
	w.store.Restore(c)
	restored := time.Now()
	w.c.Assert(records(), qt.Equals, 0)
	w.until("on record again", func() bool { return records() >= min(n, recorded) })
	w.c.Assert(time.Since(restored) < agreeTime, qt.IsTrue, qt.Commentf("%v", time.Since(restored)))
	w.agree(entries, time.Now(), "i-0")
}
