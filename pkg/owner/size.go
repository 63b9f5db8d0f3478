package owner

import (
	"iter"
	"math"
	"time"
)

// Size is how many owners a host has. The host's first owner decides it and
// tells the others, who take its word: each working it out from rates that it
// heard at other times, callers would be sent to different entries at once.
type Size struct {
	count int
	low   time.Time // since when fewer would do; zero while they wouldn't
}

// Times and shares of a change.
const (
	// lowShare is the part of what one owner fewer is fit for below which the
	// load must stay. Rates vary by a tenth from second to second.
	lowShare = 0.75
	// lowTime is how long it must stay there. Each change sends callers to
	// entries that have learnt nothing of the targets; with owners that followed
	// the rate at once there were 40 changes in a calm quarter of a minute.
	lowTime = 5 * time.Second
)

// Decide gives the number for a load of so many requests a second. fit is what
// each entry is fit for, in the order in which they become owners. Where no number
// is enough, it is the one that is fit for most.
func (s *Size) Decide(now time.Time, load float64, fit iter.Seq[float64]) int {
	s.count = max(s.count, Least)
	need := enough(load, fit)
	switch {
	case need >= s.count:
		s.count, s.low = need, time.Time{}
	case enough(load/lowShare, fit) >= s.count:
		s.low = time.Time{}
	case s.low.IsZero():
		s.low = now
	case now.Sub(s.low) >= lowTime:
		s.count, s.low = s.count-1, now
	}
	return s.count
}

// Hear takes the first owner's word, 0 while there is none: what was told before
// holds. Whoever becomes the first goes on from it.
func (s *Size) Hear(count int) int {
	if count > 0 {
		s.count = count
	}
	s.count, s.low = max(s.count, Least), time.Time{}
	return s.count
}

// enough is how many of the entries are fit for a load together. Callers choose
// among them with equal chance, so that each gets an equal part, and the weakest
// one has to be fit for it: five entries of which two were strong served 65 in
// 100 requests in time, and the two alone 99, of 950 a second.
//
// Entries beyond those that are enough are not looked at: their order is worked
// out one by one, and with 2,000 of them in full it took 340 ms.
func enough(load float64, fit iter.Seq[float64]) int {
	best, most, n := Least, 0.0, 0
	weakest := math.Inf(1)
	for f := range fit {
		weakest = min(weakest, f)
		n++
		if n < Least {
			continue
		}
		if sum := weakest * float64(n); sum > most {
			best, most = n, sum
		}
		if most >= load {
			break
		}
	}
	return best
}
