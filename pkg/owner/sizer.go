package owner

import (
	"iter"
	"math"
	"time"
)

// Sizer decides the number of owners of a host. The host's first owner decides it and
// the others adopt the decision. If each entry computed it, from rates received at
// different times, callers would be sent to different entries at the same time.
type Sizer struct {
	count    int
	lowSince time.Time // since when fewer owners would suffice; zero if they don't
}

// Conditions for removing an owner.
const (
	// shrinkShare limits the load for removing an owner: it must stay below this share of
	// the capacity of the remaining owners. Measured rates vary by a tenth from second to
	// second.
	shrinkShare = 0.75
	// shrinkDelay is how long the load must stay below it. Each change sends callers to
	// entries that have no data on the targets yet. When the owner count followed the
	// rate without delay, it changed 40 times in 15 s of steady load.
	shrinkDelay = 5 * time.Second
)

// Decide returns the number of owners for a load in requests per second. capacities
// yields the capacity of each entry for the host, in the order in which entries become
// owners. If no number suffices, Decide returns the one with the highest capacity.
func (s *Sizer) Decide(now time.Time, load float64, capacities iter.Seq[float64]) int {
	s.count = max(s.count, MinOwners)
	need := ownersNeeded(load, capacities)
	switch {
	case need >= s.count:
		s.count, s.lowSince = need, time.Time{}
	case ownersNeeded(load/shrinkShare, capacities) >= s.count:
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	case now.Sub(s.lowSince) >= shrinkDelay:
		s.count, s.lowSince = s.count-1, now
	}
	return s.count
}

// Adopt adopts the count that the first owner announced. With 0, for none announced,
// the previous count is kept. An entry that becomes the first owner continues from it.
func (s *Sizer) Adopt(count int) int {
	if count > 0 {
		s.count = count
	}
	s.count, s.lowSince = max(s.count, MinOwners), time.Time{}
	return s.count
}

// ownersNeeded returns the number of owners whose combined capacity is enough for a
// load. Callers choose among the owners at random, so that each gets an equal share and
// the weakest owner limits all: of 950 requests per second, five entries of which two
// were strong served 65 % in time, and the two strong ones alone 99 %.
//
// It stops at the number that is enough, since the order of the entries is computed one
// by one. Computing it for all of 2,000 entries took 340 ms.
func ownersNeeded(load float64, capacities iter.Seq[float64]) int {
	best, most, n := MinOwners, 0.0, 0
	weakest := math.Inf(1)
	for c := range capacities {
		weakest = min(weakest, c)
		n++
		if n < MinOwners {
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
