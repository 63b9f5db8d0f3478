package grace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stop that gives requests up before the last sixth of its grace period, or before
// its port is closed, and against one that isn't over at the end of it.
func TestPeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, tt := range []struct{ grace, closes, ends, exits time.Duration }{
		{0, 0, 0, 0},
		{500 * time.Millisecond, 250 * time.Millisecond, 437500 * time.Microsecond, 453125 * time.Microsecond},
		{time.Second, 500 * time.Millisecond, 875 * time.Millisecond, 906250 * time.Microsecond},
		{2 * time.Second, time.Second, 1750 * time.Millisecond, 1812500 * time.Microsecond},
		{3 * time.Second, 1500 * time.Millisecond, 2625 * time.Millisecond, 2718750 * time.Microsecond},
		{6 * time.Second, 3 * time.Second, 5400 * time.Millisecond, 5500 * time.Millisecond},
		{30 * time.Second, 3 * time.Second, 29400 * time.Millisecond, 29500 * time.Millisecond},
	} {
		p := New(Config{Began: began, Grace: tt.grace, Drain: 3 * time.Second})
		qt.Check(t, p, qt.Equals, Period{began.Add(tt.closes), began.Add(tt.ends), began.Add(tt.exits)}, qt.Commentf("%v", tt.grace))
		qt.Check(t, p.Ends.Sub(began) >= tt.grace*5/6, qt.IsTrue)
		qt.Check(t, p.Exits.Sub(began) <= tt.grace, qt.IsTrue)
	}
}
