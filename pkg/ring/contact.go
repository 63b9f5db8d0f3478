package ring

import "time"

// Contact is what one entry knows of its own reach: when it last asked each
// member something that was answered.
type Contact struct {
	heard map[Ident]time.Time
}

// Heard notes that an incarnation answered a question that was sent at a time.
// The caller leaves out answers of entries that have a newer ring in force.
func (c *Contact) Heard(at time.Time, id Ident) {
	if c.heard == nil {
		c.heard = make(map[Ident]time.Time)
	}
	if at.After(c.heard[id]) {
		c.heard[id] = at
	}
}

// Keep forgets the incarnations that a ring doesn't name.
func (c *Contact) Keep(r Ring) {
	for id := range c.heard {
		if !r.Has(id) {
			delete(c.heard, id)
		}
	}
}

// InContact tells whether a member may accept claims under a ring: a majority
// of each of its lists, itself included, answered within Remove without having
// a newer ring.
//
// Without it two replicas that are cut off could accept a claim among
// themselves for as long as they like, and the key would run there and again
// where they were given up. An old list goes only once a majority of its living
// members has the ring that follows. After that, no majority can answer that
// hasn't one of these in it, so whoever has still the former ring in force stops
// within Remove, whichever way it was cut off.
func (c Config) InContact(now time.Time, r Ring, self Ident, heard *Contact) bool {
	return heard.Lacking(now, r, self, c.Remove) == 0
}

// Lacking gives how many more members of the list that lacks most have to
// answer, for a majority of each list of a ring, self included, to have answered
// within a time.
func (c *Contact) Lacking(now time.Time, r Ring, self Ident, within time.Duration) int {
	n := c.lacking(now, r.Members, self, within)
	if r.Joint() {
		n = max(n, c.lacking(now, r.Old, self, within))
	}
	return n
}

func (c *Contact) lacking(now time.Time, list []Member, self Ident, within time.Duration) int {
	n := 0
	for _, m := range list {
		if m.Ident == self || c.Fresh(now, m.Ident, within) {
			n++
		}
	}
	return max(Majority(len(list))-n, 0)
}

// Fresh tells whether an incarnation has answered within a time.
func (c *Contact) Fresh(now time.Time, id Ident, within time.Duration) bool {
	at, ok := c.heard[id]
	return ok && elapsed(now, at) < within
}

// elapsed takes the longer of the monotonic and the wall clock's difference: the
// former stands still while a VM is suspended.
func elapsed(now, at time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}
