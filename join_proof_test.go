package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A third entry joins a site of two. It is known to be live before it knows
// settings and targets, and nothing else changes after that. Each entry must name
// it once it is ready: locate answers that don't would keep callers away from it
// until something else changed.
func TestJoinedEntryIsNamed(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 2, 0)
	code, out := s.operate(t, 0, "settings", "set", ledger, "entries", "3", "--wait")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf(out))
	s.startEntry(t)
	for n := range 3 {
		eventually(t, "the third entry is named", func() bool { return len(s.homes(t, n)) == 3 })
	}
}
