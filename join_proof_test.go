package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A third entry joins two others. They see it as live before it has settings and targets,
// and nothing else changes afterwards. The entries must name it in locate responses once
// it is ready, although only its readiness changes. Otherwise it would get no callers
// until the next change.
func TestJoinedEntryIsNamed(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 1, 2, 0)
	code, out := s.runCommand(t, 0, "settings", "set", servicePath, "entries", "3", "--wait")
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf(out))
	s.startEntry(t)
	for n := range 3 {
		eventually(t, "the third entry is named", func() bool { return len(s.preferredEntries(t, n)) == 3 })
	}
}
