package gateway

import (
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

// live are the entries that callers may be sent to, this one among them while it
// doesn't stop.
func (c *control) live() []owner.Candidate {
	if c.roll == nil {
		c.enlist()
	}
	return c.roll
}

// enlist works out what depends on which entries live alone.
func (c *control) enlist() {
	c.roll = []owner.Candidate{}
	c.rolls++
	var readers []owner.Candidate
	for e := range c.members.Entries() {
		if e.State != member.Alive {
			continue
		}
		o := owner.Candidate{Entry: ownerOf(e), Strained: e.Strained}
		c.roll = append(c.roll, o)
		if !e.Shut {
			readers = append(readers, o)
		}
	}
	// One that the store turned away keeps its place, and so finds out that it is
	// served again; the others reckon without it until it says so.
	own := readers
	if c.shut {
		own = c.roll
	}
	for d := range duties {
		c.order[d] = owner.Order(readers, dutyNames[d], fastReaders)
		c.rank[d] = owner.Rank(own, dutyNames[d], c.gateway.self.Name)
	}
	c.deal = nil
}

func ownerOf(e member.Entry) owner.Entry {
	return owner.Entry{
		Name: e.ID.Name, Boot: e.ID.Boot, Front: e.Caller, Peer: e.Peer, Place: e.Place, Region: e.Region, Capacity: e.Capacity,
	}
}

// alone tells whether no other entry has been heard for long, though there are
// some: then this one is cut off, and does all by itself.
func (c *control) alone(now time.Time) bool {
	return c.deaf(now) && len(c.live()) > 1
}

// deaf tells whether no other entry has been heard for long.
func (c *control) deaf(now time.Time) bool {
	return now.Sub(c.started) > aloneAfter && now.Sub(c.members.Heard()) > aloneAfter
}

// isolated tells whether this entry hears no other one though it has known some. To
// one that is cut off for over a second, all of them seem to have died.
func (c *control) isolated(now time.Time) bool {
	if !c.deaf(now) {
		return false
	}
	for e := range c.members.Entries() {
		if e.State != member.Left && e.ID.Name != c.gateway.self.Name {
			return true
		}
	}
	return false
}
