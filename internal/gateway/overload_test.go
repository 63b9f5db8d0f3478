package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A slow VM delays requests although it is alive. The delay of its own ticks must show it,
// but one late tick, such as a garbage collection causes, must not count as overload.
func TestOverloadDetector(t *testing.T) {
	const period = tickInterval
	tests := []struct {
		name  string
		after []time.Duration
		want  bool
	}{
		{"on time", []time.Duration{period, period, period}, false},
		{"late once", []time.Duration{period, 3 * period, period}, false},
		{"late twice in a row", []time.Duration{period, 2 * period, 2 * period}, true},
		{"late twice, then on time", []time.Duration{period, 2 * period, 2 * period, period}, true},
		{"long ago", []time.Duration{period, 2 * period, 2 * period, period, overloadHold}, false},
	}
	for _, tt := range tests {
		var s overloadDetector
		now := time.Unix(9, 0)
		s.tick(now, period)
		for _, d := range tt.after {
			now = now.Add(d)
			s.tick(now, period)
		}
		qt.Assert(t, s.overloaded(now), qt.Equals, tt.want, qt.Commentf("%s", tt.name))
	}
}
