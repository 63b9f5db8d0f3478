package pace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// In a burst callers of a service with many targets come to two entries, each of which
// sees half of the requests and has heard nothing lately of most targets. With work that
// takes longer than a pace lasts, an answer is late where a second request joins the
// first one, and a third of the targets, those in the failure domain without an entry,
// would stay idle meanwhile. Callers are to get most of their worth.
func TestBurstAtManyTargets(t *testing.T) {
	s := Booking()
	s.Targets = 60
	for _, tt := range []struct{ load, worth float64 }{{0.6, 0.91}, {0.8, 0.85}} {
		worth := 0.0
		const seeds = 4
		for seed := range uint64(seeds) {
			st := run(s, way{meets: atTwo, build: asking(s.Slots, 0)}, tt.load, 4*time.Second, seed+1)
			worth += st.worth(s) / seeds
		}
		qt.Check(t, worth > tt.worth, qt.IsTrue, qt.Commentf("%.3f at %.0f %% of the capacity", worth, 100*tt.load))
	}
}

// At the full capacity of many targets a request that asks four of them is better off
// than one that asks two: of two, often none is idle. What the questions cost is counted.
func TestQuestionsPayInABurst(t *testing.T) {
	s := Booking()
	s.Targets = 60
	worth := func(ask int) (sum float64) {
		const seeds = 5
		for seed := range uint64(seeds) {
			st := run(s, way{meets: atTwo, build: asking(s.Slots, ask)}, 1, 5*time.Second, seed+1)
			sum += st.worth(s) / seeds
		}
		return sum
	}
	two, four := worth(2), worth(4)
	qt.Assert(t, four > two, qt.IsTrue, qt.Commentf("four %.3f, two %.3f", four, two))
}
