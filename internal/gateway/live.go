package gateway

import (
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

// live returns the entries that callers may be sent to, including this one unless it is
// stopping.
func (c *control) live() []owner.Candidate {
	if c.liveEntries == nil {
		c.updateLive()
	}
	return c.liveEntries
}

// updateLive recomputes what depends only on which entries are live.
func (c *control) updateLive() {
	c.liveEntries = []owner.Candidate{}
	c.liveVersion++
	c.unreachableBy, c.reportedUnreachable = make(map[string][]uint32), make(map[uint32]bool)
	var readers []owner.Candidate
	for e := range c.members.Entries() {
		if e.State != member.Alive {
			continue
		}
		o := owner.Candidate{Entry: ownerOf(e), Overloaded: e.Overloaded}
		c.liveEntries = append(c.liveEntries, o)
		c.noteUnreachable(e)
		if !e.StoreUnavailable {
			readers = append(readers, o)
		}
	}
	// An entry that the store doesn't serve keeps its own rank and so goes on reading,
	// which detects that it is served again. The others leave it out of the order until
	// it reports that.
	ranked := readers
	if c.storeUnavailable {
		ranked = c.liveEntries
	}
	for r := range resourceCount {
		c.readerOrder[r] = owner.TopRanked(readers, resourceLabels[r], notifiedReaders)
		c.readerRank[r] = owner.Rank(ranked, resourceLabels[r], c.gateway.self.Name)
	}
	c.assignment = nil
	c.contact = c.members.Contact()
}

// noteUnreachable records the services that an entry doesn't reach.
func (c *control) noteUnreachable(e member.Entry) {
	if len(e.Unreachable) == 0 {
		return
	}
	c.unreachableBy[e.ID.Name] = e.Unreachable
	if e.ID.Name == c.gateway.self.Name {
		return
	}
	for _, id := range e.Unreachable {
		c.reportedUnreachable[id] = true
	}
}

func ownerOf(e member.Entry) owner.Entry {
	return owner.Entry{
		Name: e.ID.Name, Boot: e.ID.Boot, CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, Place: e.Place, Region: e.Region, Capacity: e.Capacity,
	}
}

// lostContactWithLive reports whether lostContact is true though other entries are live.
// This entry then reads the store itself, as if it were the first in the order of readers.
func (c *control) lostContactWithLive(now time.Time) bool {
	return c.lostContact(now) && len(c.live()) > 1
}

// lostContact reports whether no packet of another entry has come for isolationTimeout.
func (c *control) lostContact(now time.Time) bool {
	return now.Sub(c.started) > isolationTimeout && now.Sub(c.members.LastReceived()) > isolationTimeout
}

// isolated reports whether this entry receives nothing from the others though there are
// some: it has known them, or they have a record in the store. Unlike lostContactWithLive it
// also counts entries that seem dead: after a second or more without contact, all of them do.
// Seeds of the settings don't count, since they may be gone for good.
func (c *control) isolated(now time.Time) bool {
	if !c.lostContact(now) {
		return false
	}
	if c.recordedPeers > 0 {
		return true
	}
	for e := range c.members.Entries() {
		if e.State != member.Left && e.ID.Name != c.gateway.self.Name {
			return true
		}
	}
	return false
}
