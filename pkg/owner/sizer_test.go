package owner

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Owners are added at once when the load needs them. They are removed one at a time,
// and only when fewer have been enough for shrinkDelay.
func TestSizer(t *testing.T) {
	capacities := slices.Values([]float64{400, 300, 200, 200, 200, 200, 50})
	tests := []struct {
		at   time.Duration
		load float64
		want int
	}{
		{0, 0, 2},
		{time.Second, 600, 2},
		{2 * time.Second, 601, 4}, // three of 200 have no more capacity than two of 300
		{3 * time.Second, 801, 5},
		{4 * time.Second, 1e6, 6}, // with the weakest entry the total capacity is lower
		{5 * time.Second, 10, 6},
		{9 * time.Second, 10, 6},
		{10 * time.Second, 10, 5},
		{11 * time.Second, 10, 5},
		{15 * time.Second, 10, 4},
		{19 * time.Second, 500, 4}, // two would be enough, but with little to spare
		{25 * time.Second, 500, 4},
		{31 * time.Second, 10, 4},
		{36 * time.Second, 10, 3},
	}
	var s Sizer
	start := time.Unix(1000, 0)
	for _, tt := range tests {
		qt.Assert(t, s.Decide(start.Add(tt.at), tt.load, capacities), qt.Equals, tt.want, qt.Commentf("at %v", tt.at))
	}
}

// A steady load is just at the limit where one more owner is needed, and its measured
// rate varies by a tenth. The owner count may change at most once, since each change
// sends callers to entries that have no data on the targets yet.
func TestSteadyLoadKeepsOwnerCount(t *testing.T) {
	capacities := slices.Values([]float64{96, 96, 96, 96})
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var s Sizer
		now, changes, last := time.Unix(1000, 0), -1, 0
		for range 4 * 60 {
			now = now.Add(250 * time.Millisecond)
			if n := s.Decide(now, 192*(0.9+0.2*rnd.Float64()), capacities); n != last {
				changes, last = changes+1, n
			}
		}
		qt.Assert(t, changes <= 1, qt.IsTrue, qt.Commentf("seed %d: %d changes", seed, changes))
	}
}

// The first owner dies. Its successor continues from the count that it has adopted.
func TestNextFirstOwnerKeepsCount(t *testing.T) {
	var s Sizer
	now := time.Unix(1000, 0)
	qt.Assert(t, s.Adopt(4), qt.Equals, 4)
	qt.Assert(t, s.Adopt(0), qt.Equals, 4, qt.Commentf("a new first owner has announced no count"))
	capacities := slices.Values([]float64{100, 100, 100, 100, 100})
	qt.Assert(t, s.Decide(now, 150, capacities), qt.Equals, 4)
	qt.Assert(t, s.Decide(now.Add(shrinkDelay), 150, capacities), qt.Equals, 3)
}
