package logs

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const collected = `
 0.1 a {"fields":{"entry":"a"},"level":"info","timestamp":"2026-01-01T00:00:01Z","message":"gateway started"}
noise
{"fields":{"entry":"a","version":4},"level":"info","timestamp":"2026-01-01T00:00:08Z","message":"configuration in force"}
{"fields":{"entry":"b","version":4},"level":"info","timestamp":"2026-01-01T00:00:08Z","message":"configuration in force"}
{"fields":{"entry":"a","request":"q2"},"level":"warn","timestamp":"2026-01-01T00:00:09Z","message":"of another request"}
{"fields":{"entry":"a","request":"q1","status":502},"level":"warn","timestamp":"2026-01-01T00:00:10Z","message":"answered in place of a target"}
{"fields":{"entry":"a","request":"q1","stage":"reset"},"level":"warn","timestamp":"2026-01-01T00:00:09.5Z","message":"dispatch failed"}
{"fields":{"entry":"a"},"level":"info","timestamp":"2026-01-01T00:00:11Z","message":"later"}
`

// From the logs of all entries Find returns the lines about one request in the order of
// time, together with the state changes of its own entry.
func TestFind(t *testing.T) {
	lines, err := Find(strings.NewReader(collected), "q1")
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, l := range lines {
		got = append(got, l.Entry+" "+l.Message)
	}
	qt.Assert(t, got, qt.DeepEquals, []string{
		"a configuration in force", "a dispatch failed", "a answered in place of a target",
	})
	qt.Assert(t, lines[1].FieldNames(), qt.DeepEquals, []string{"stage"})
	none, err := Find(strings.NewReader(collected), "q9")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, none, qt.HasLen, 0)
}
