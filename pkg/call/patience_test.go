package call

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A caller that was refused comes back with less time left. Its objective counts
// from its first attempt: served before others, it would be late all the same
// and make them late too.
func TestPatience(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(100, 0)
	tests := []struct {
		name string
		at   time.Duration
		left time.Duration
		want time.Duration
	}{
		{"the first one", 0, 800 * ms, 0},
		{"one that came back", 100 * ms, 650 * ms, 150 * ms},
		{"another first one", 200 * ms, 800 * ms, 0},
		{"the longest of the period before counts", 10100 * ms, 600 * ms, 200 * ms},
		{"callers that now wait less", 20200 * ms, 600 * ms, 0},
		{"one of them that came back", 20300 * ms, 500 * ms, 100 * ms},
	}
	var p Patience
	for _, tt := range tests {
		qt.Assert(t, p.Elapsed(start.Add(tt.at), tt.left), qt.Equals, tt.want, qt.Commentf("%s", tt.name))
	}
}
