package owner

import (
	"iter"
	"math"
	"time"
)

// Sizer decides the number of owners of a host. The host's first owner decides it and
// the others adopt the decision. If each entry computed it, from rates received at
// different times, callers would be sent to different entries at once.
type Size struct {
	count int
	low   time.Time // since when fewer owners would suffice; zero if they don't
}

// Conditions for removing an owner.
const (
	// shrinkShare is the share of the capacity of one owner fewer that the load must stay
	// below. Measured rates vary by a tenth from second to second.
	lowShare = 0.75
	// shrinkDelay is how long the load must stay below it. Each change sends callers to
	// entries that have no data on the targets yet. When the owner count followed the
	// rate without delay, it changed 40 times in 15 s of steady load.
	lowTime = 5 * time.Second
)

// Decide returns the number of owners for a load in requests per second. capacities
// yields the capacity of each entry for the host, in the order in which entries become
// owners. If no number suffices, Decide returns the one with the highest capacity.
func (s *Size) Decide(now time.Time, load float64, capacities iter.Seq[float64]) int {
	s.count = max(s.count, Least)
	need := enough(load, capacities)
	switch {
	case need >= s.count:
		s.count, s.low = need, time.Time{}
	case enough(load/lowShare, capacities) >= s.count:
		s.low = time.Time{}
	case s.low.IsZero():
		s.low = now
	case now.Sub(s.low) >= lowTime:
		s.count, s.low = s.count-1, now
	}
	return s.count
}

// Adopt adopts the count that the first owner announced. With 0, for none announced,
// the previous count is kept. An entry that becomes the first owner continues from it.
func (s *Size) Hear(count int) int {
	if count > 0 {
		s.count = count
	}
	s.count, s.low = max(s.count, Least), time.Time{}
	return s.count
}

// ownersNeeded returns the number of owners whose combined capacity is enough for a
// load. Callers choose among the owners at random, so that each gets an equal share and
// the weakest owner limits all: of 950 requests per second, five entries of which two
// were strong served 65 % in time, and the two strong ones alone 99 %.
//
// It stops at the number that is enough, since the order of the entries is computed one
// by one. Computing it for all of 2,000 entries took 340 ms.
func enough(load float64, capacities iter.Seq[float64]) int {
	best, most, n := Least, 0.0, 0
	weakest := math.Inf(1)
	for c := range capacities {
		weakest = min(weakest, c)
		n++
		if n < Least {
			continue
		}
		if total := weakest * float64(n); total > most {
			best, most = n, total
		}
		if most >= load {
			break
		}
	}
	return best
}
