package pool

import (
	"math/rand/v2"
	"time"
)

// Policy picks the target of one request.
type Policy interface {
	// Pick returns the index of one of c.Members, or -1 to leave the request
	// queued. Members is never empty.
	Pick(c *Choice) int
}

// Choice is what a policy may look at.
type Choice struct {
	Now     time.Duration // on the pool's own clock
	Members []*Member     // those that may get the request
	Keep    time.Duration // time in which a report's weight halves
	Curve   *Curve
	Config  *Config
	Rand    *rand.Rand
}

// Suspect tells whether the target looks slower or more faulty than the others.
func (c *Choice) Suspect(m *Member) bool {
	return m.fail > failSuspect || m.suspicion(c.Now, c.Curve) > slowSuspect
}

// RoundRobin takes the targets in turn.
type RoundRobin struct{ next int }

// Pick returns the next index.
func (r *RoundRobin) Pick(c *Choice) int {
	r.next++
	return r.next % len(c.Members)
}

// Random takes any target.
type Random struct{}

// Pick returns a random index.
func (Random) Pick(c *Choice) int { return c.Rand.IntN(len(c.Members)) }

// TwoChoices takes the one with fewer requests in flight of two random targets.
type TwoChoices struct{}

// Pick compares two random members.
func (TwoChoices) Pick(c *Choice) int {
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

// LeastInFlight takes a target with the fewest requests of this entry in flight.
type LeastInFlight struct{}

// Pick returns a random one of the members with the least in flight.
func (LeastInFlight) Pick(c *Choice) int {
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
