package gateway

import (
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

// live returns the entries that callers may be sent to, including this one unless it is
// stopping.
func (c *control) live() []owner.Candidate {
	if c.roll == nil {
		c.enlist()
	}
	return c.roll
}

// updateLive recomputes what depends only on which entries are live.
func (c *control) enlist() {
	c.roll = []owner.Candidate{}
	c.rolls++
	var readers []owner.Candidate
	for e := range c.members.Entries() {
		if e.State != member.Alive {
			continue
		}
		o := owner.Candidate{Entry: ownerOf(e), Overloaded: e.Overloaded}
		c.roll = append(c.roll, o)
		if !e.StoreUnavailable {
			readers = append(readers, o)
		}
	}
	// An entry that the store doesn't serve keeps its own rank and so goes on reading,
	// which detects that it is served again. The others leave it out of the order until
	// it reports that.
	ranked := readers
	if c.shut {
		ranked = c.roll
	}
	for r := range duties {
		c.order[r] = owner.TopRanked(readers, dutyNames[r], fastReaders)
		c.rank[r] = owner.Rank(ranked, dutyNames[r], c.gateway.self.Name)
	}
	c.deal = nil
}

func ownerOf(e member.Entry) owner.Entry {
	return owner.Entry{
		Name: e.ID.Name, Boot: e.ID.Boot, CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, Place: e.Place, Region: e.Region, Capacity: e.Capacity,
	}
}

// cutOff reports whether this entry receives nothing from the others though some are live.
// It then reads the store itself, as if it were the first in the order.
func (c *control) alone(now time.Time) bool {
	return c.deaf(now) && len(c.live()) > 1
}

// lostContact reports whether no packet of another entry has come for isolationTimeout.
func (c *control) deaf(now time.Time) bool {
	return now.Sub(c.started) > aloneAfter && now.Sub(c.members.LastReceived()) > aloneAfter
}

// isolated reports whether this entry receives nothing from the others though it has known
// some. Unlike cutOff it also counts entries that seem dead: after a second or more without
// contact, all of them do.
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
