package pool

import (
	"math/rand/v2"
	"time"
)

// Policy picks the target of one request.
type Policy interface {
	// Pick returns the index of one of c.Members, or -1 to leave the request
	// queued. Members is never empty.
	Pick(c *PickInput) int
}

// PickInput is the input of a policy.
type PickInput struct {
	Now          time.Duration // on the pool's clock
	Members      []*Member     // targets that may get the request
	LoadHalfLife time.Duration // time in which the weight of a load report halves
	Latencies    *LatencyDistribution
	Config       *Config
	Rand         *rand.Rand
}

// IsSuspect reports whether the target appears slower or more faulty than the others.
func (c *PickInput) IsSuspect(m *Member) bool {
	return m.failEvidence > suspectFail || m.currentSlowEvidence(c.Now, c.Latencies) > suspectSlow
}

// RoundRobin picks the targets in turn.
type RoundRobin struct{ next int }

// Pick returns the next index.
func (r *RoundRobin) Pick(c *PickInput) int {
	r.next++
	return r.next % len(c.Members)
}

// Random picks a random target.
type Random struct{}

// Pick returns a random index.
func (Random) Pick(c *PickInput) int { return c.Rand.IntN(len(c.Members)) }

// TwoChoices picks the target with fewer requests in flight out of two random ones.
type TwoChoices struct{}

// Pick compares two random members.
func (TwoChoices) Pick(c *PickInput) int {
	n := len(c.Members)
	a := c.Rand.IntN(n)
	if n == 1 {
		return a
	}
	b := c.Rand.IntN(n - 1)
	if b >= a {
		b++
	}
	if c.Members[b].InFlight() < c.Members[a].InFlight() {
		return b
	}
	return a
}

// LeastInFlight picks a target with the fewest requests of this entry in flight.
type LeastInFlight struct{}

// Pick returns a random one of the members with the fewest requests in flight.
func (LeastInFlight) Pick(c *PickInput) int {
	best, ties := 0, 0
	for i, m := range c.Members {
		switch n := m.InFlight(); {
		case i == 0 || n < c.Members[best].InFlight():
			best, ties = i, 1
		case n == c.Members[best].InFlight():
			ties++
			if c.Rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
