package pool

import "time"

// FreeSlot assigns a request to a target that probably has a free slot. If there is
// none, it assigns it to the target that is most likely to have one soon, up to the
// allowance. Without an allowance, each slot would be idle for a round trip after each
// response, and the throughput of the service would collapse near saturation.
type FreeSlot struct{}

// horizonFactor is the time within which a slot should become free, in multiples of the
// mean response time.
const horizonFactor = 1

// Pick prefers a free slot on a target that is not suspected, and there the target with
// the fewest requests.
func (FreeSlot) Pick(c *PickInput) int {
	best, ties, bestRank := -1, 0, 0.0
	for i, m := range c.Members {
		rank, ok := freeRank(c, m)
		if !ok {
			continue
		}
		switch {
		case best < 0 || rank < bestRank:
			best, bestRank, ties = i, rank, 1
		case rank == bestRank:
			ties++
			if c.Rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best >= 0 {
		return best
	}
	return soonestFree(c)
}

// suspectPenalty ranks suspected targets behind all others.
const suspectPenalty = 1000

// freeRank returns the rank of m by its number of requests; the lowest is the best. ok is
// false when m has no free slot.
func freeRank(c *PickInput, m *Member) (rank float64, ok bool) {
	rank = float64(m.InFlight()) + m.OtherInFlight(c.Now, c.LoadHalfLife)
	if rank > float64(m.limit(c.Config))-0.5 {
		return 0, false
	}
	if c.IsSuspect(m) {
		rank += suspectPenalty
	}
	return rank, true
}

// soonestFree picks, among the full targets with the fewest requests beyond their slots,
// the one least likely to keep all slots busy over the horizon, given the ages of its
// requests.
func soonestFree(c *PickInput) int {
	best, bestHazard, bestOver := -1, 0.0, 0
	span := horizonFactor * c.Latencies.Mean(c.LoadHalfLife)
	for i, m := range c.Members {
		over := m.InFlight() - m.limit(c.Config)
		if over >= c.Config.Allowance || !m.warmedUp(c.Config) {
			continue
		}
		if c.IsSuspect(m) {
			over += suspectPenalty
		}
		hazard := 0.0
		for _, d := range m.dispatches {
			if d.inSlot {
				hazard += hazardOver(c, d, span)
			}
		}
		if best < 0 || over < bestOver || over == bestOver && hazard > bestHazard {
			best, bestHazard, bestOver = i, hazard, over
		}
	}
	return best
}

// hazardOver returns the cumulative hazard of d over the next span: the negative logarithm
// of the probability that it is still running then.
func hazardOver(c *PickInput, d dispatch, span time.Duration) float64 {
	age := c.Now - d.start
	return c.Latencies.Hazard(age+span) - c.Latencies.Hazard(age)
}
