package members

import (
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/ring"
)

// firsts holds when each incarnation was first known here. It is replaced as a
// whole.
type firsts struct{ at map[member.ID]time.Time }

func (f *firsts) with(now time.Time, v member.View) *firsts {
	next := &firsts{at: make(map[member.ID]time.Time, len(v.Entries))}
	for _, e := range v.Entries {
		next.at[e.ID] = now
		if f == nil {
			continue
		}
		if at, ok := f.at[e.ID]; ok {
			next.at[e.ID] = at
		}
	}
	return next
}

// Ring gives the view by which a change of the ring is weighed, the entries
// that are up first. The ring in force is that of the given revision. An
// incarnation is gone for sure only when it said so itself.
func (m *Members) Ring(now time.Time, revision uint64) ring.View {
	var v ring.View
	var gone []ring.Seen
	view, first := m.View(), m.first.Load()
	for _, e := range view.Entries {
		id := ring.Ident(e.ID)
		if e.State == member.Left {
			v.Gone = append(v.Gone, id)
		}
		if revision > 0 && e.Synced == revision {
			v.Synced = append(v.Synced, id)
		}
		s := ring.Seen{Member: Member(e), First: first.at[e.ID], Last: now, Leaving: e.State == member.Leaving, Ring: e.Marks.Ring}
		if e.State == member.Suspect {
			s.Last = e.Since // an entry that is cut off suspects the others and must not count them as seen
		}
		if e.State.Gone() {
			s.Last, s.Ring = e.Since, 0 // nothing can be fetched from it
			gone = append(gone, s)
			continue
		}
		v.Seen = append(v.Seen, s)
	}
	v.Seen = append(v.Seen, gone...)
	return v
}

// Member maps an entry to a member of the ring.
func Member(e member.Entry) ring.Member {
	return ring.Member{Ident: ring.Ident(e.ID), Caller: e.Caller, Peer: e.Peer, Place: e.Place, Region: e.Region}
}

// Serving gives the entries that requests may be sent to, as members of the
// ring.
func (m *Members) Serving() []ring.Member {
	var live []ring.Member
	for _, e := range m.View().Serving() {
		live = append(live, Member(e))
	}
	return live
}
