package pace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against idle targets in a burst. Two entries get all requests of a service with
// many targets, so each entry sees half of the requests and has no recent load report of
// most targets. Requests take longer than a pace lasts, so a second request at a target
// makes the response late. A balancer that sends second requests to busy targets leaves a
// third of the targets idle meanwhile, those in the failure domain without an entry.
// Callers must still get most of the possible score.
func TestBurstAtManyTargets(t *testing.T) {
	s := Booking()
	s.Targets = 60
	for _, tt := range []struct{ load, minScore float64 }{{0.6, 0.91}, {0.8, 0.85}} {
		score := 0.0
		const seeds = 4
		for seed := range uint64(seeds) {
			st := run(s, policy{chooseEntry: firstTwoEntries, newChooser: balancerWith(s.Slots, 0)}, tt.load, 4*time.Second, seed+1)
			score += st.score(s) / seeds
		}
		qt.Check(t, score > tt.minScore, qt.IsTrue, qt.Commentf("%.3f at %.0f %% of the capacity", score, 100*tt.load))
	}
}

// At full capacity with many targets, four probes per request give a higher score than
// two, because of two targets often none is idle. The score includes the probes' cost.
func TestMoreProbesHelpAtFullCapacity(t *testing.T) {
	s := Booking()
	s.Targets = 60
	score := func(probes int) (sum float64) {
		const seeds = 5
		for seed := range uint64(seeds) {
			st := run(s, policy{chooseEntry: firstTwoEntries, newChooser: balancerWith(s.Slots, probes)}, 1, 5*time.Second, seed+1)
			sum += st.score(s) / seeds
		}
		return sum
	}
	two, four := score(2), score(4)
	qt.Assert(t, four > two, qt.IsTrue, qt.Commentf("four %.3f, two %.3f", four, two))
}
