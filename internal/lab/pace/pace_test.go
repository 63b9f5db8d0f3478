package pace

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The simulation must rank the policies as real processes on a simulated network
// do: probing is better than using the last report, polling costs more than it
// gains, and above the capacity it pays to limit the requests at each target, but
// not to 1.
func TestPolicyRanking(t *testing.T) {
	rows := map[string][]float64{}
	for _, r := range runAll(Standard(), Config{Seeds: 2, Seed: 1, Length: 16 * time.Second}) {
		rows[r.Policy] = r.Scores
	}
	const quiet, overload = 0, 2
	tests := []struct {
		loadIndex     int
		better, worse string
	}{
		{quiet, "least in flight x pace, at all entries", "random, at all entries"},
		{quiet, "least in flight x pace, at all entries", "the same, all targets asked each 40 ms"},
		{quiet, "asks 4, two entries, at most its slots", "least in flight x pace, at all entries"},
		{quiet, "asks 4, two entries, at most its slots", "asks none, two entries, at most its slots"},
		{overload, "asks 4, two entries, at most its slots", "least in flight x pace, at all entries"},
		{overload, "asks 4, one entry, at most its slots", "asks 4, one entry, at most 1 at a target"},
		{overload, "asks 4, two entries, at most its slots", "asks none, two entries, at most its slots"},
	}
	for _, tt := range tests {
		qt.Check(t, rows[tt.better][tt.loadIndex] > rows[tt.worse][tt.loadIndex], qt.IsTrue,
			qt.Commentf("at load %v: %s %v, %s %v", loads[tt.loadIndex], tt.better, rows[tt.better], tt.worse, rows[tt.worse]))
	}
}

// Two runs with the same seed print the same bytes.
func TestSameSeedPrintsSameBytes(t *testing.T) {
	var one, two bytes.Buffer
	cfg := Config{Seeds: 1, Length: 2 * time.Second, JSON: true}
	qt.Assert(t, Run(cfg, &one), qt.IsNil)
	qt.Assert(t, Run(cfg, &two), qt.IsNil)
	qt.Assert(t, one.String(), qt.Equals, two.String())
}
