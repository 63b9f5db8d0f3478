package owner

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load grows and shrinks: so many owners as it takes at once, fewer only when
// that has held for a while, one at a time.
func TestSize(t *testing.T) {
	fit := slices.Values([]float64{400, 300, 200, 200, 200, 200, 50})
	tests := []struct {
		at   time.Duration
		load float64
		want int
	}{
		{0, 0, 2},
		{time.Second, 600, 2},
		{2 * time.Second, 601, 4}, // three of 200 are no more than two of 300
		{3 * time.Second, 801, 5},
		{4 * time.Second, 1e6, 6}, // with the weakest they are fit for less
		{5 * time.Second, 10, 6},
		{9 * time.Second, 10, 6},
		{10 * time.Second, 10, 5},
		{11 * time.Second, 10, 5},
		{15 * time.Second, 10, 4},
		{19 * time.Second, 500, 4}, // two would do, but with little to spare
		{25 * time.Second, 500, 4},
		{31 * time.Second, 10, 4},
		{36 * time.Second, 10, 3},
	}
	var s Size
	start := time.Unix(1000, 0)
	for _, tt := range tests {
		qt.Assert(t, s.Decide(start.Add(tt.at), tt.load, fit), qt.Equals, tt.want, qt.Commentf("at %v", tt.at))
	}
}

// A steady load lies just where one owner more is needed, and its rate as
// measured varies by a tenth. Each change of the number sends callers to entries
// that know nothing of the targets: there is at most one.
func TestSizeOfASteadyLoad(t *testing.T) {
	fit := slices.Values([]float64{96, 96, 96, 96})
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var s Size
		now, changes, last := time.Unix(1000, 0), -1, 0
		for range 4 * 60 {
			now = now.Add(250 * time.Millisecond)
			if n := s.Decide(now, 192*(0.9+0.2*rnd.Float64()), fit); n != last {
				changes, last = changes+1, n
			}
		}
		qt.Assert(t, changes <= 1, qt.IsTrue, qt.Commentf("seed %d: %d changes", seed, changes))
	}
}

// The first owner dies. The next one goes on from the number that it was told.
func TestNextFirstOwnerGoesOn(t *testing.T) {
	var s Size
	now := time.Unix(1000, 0)
	qt.Assert(t, s.Hear(4), qt.Equals, 4)
	qt.Assert(t, s.Hear(0), qt.Equals, 4, qt.Commentf("one that has just become the first has told nothing"))
	fit := slices.Values([]float64{100, 100, 100, 100, 100})
	qt.Assert(t, s.Decide(now, 150, fit), qt.Equals, 4)
	qt.Assert(t, s.Decide(now.Add(lowTime), 150, fit), qt.Equals, 3)
}
