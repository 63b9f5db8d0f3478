package claim

import (
	"slices"
	"strings"

	"plumpitch.example/plumpitch/pkg/ring"
)

// Part is the share of the records that one replica is to have.
type Part struct {
	To      ring.Member
	Records []Record
}

// Copy brings a replica's records to those that follow it in a joint ring. It
// is done once a majority of each new replica set has them: any later majority
// then meets one that knows.
type Copy struct {
	self  ring.Ident
	parts []*Part
	sets  map[string][]ring.Ident // distinct replica sets to be reached
	acked map[ring.Ident]bool
}

// Owes tells whether an incarnation has to copy: it is a member of the list
// that is being left, or it was given up and has come back.
func Owes(r ring.Ring, self ring.Ident) bool {
	return returned(r, self) || (r.Joint() && among(r.Old, self))
}

func returned(r ring.Ring, self ring.Ident) bool {
	for _, l := range r.Losses {
		if slices.Contains(l.Missing, self) {
			return true
		}
	}
	return false
}

func among(members []ring.Member, id ring.Ident) bool {
	return slices.ContainsFunc(members, func(m ring.Member) bool { return m.Ident == id })
}

// Plan sorts out who is to have which records. The ring must be in force in the
// table that gave them: a claim that is accepted later under the former ring
// would be missing from the copy.
func Plan(r ring.Ring, self ring.Ident, records []Record) *Copy {
	c := &Copy{self: self, sets: make(map[string][]ring.Ident), acked: make(map[ring.Ident]bool)}
	all := returned(r, self)
	for _, rec := range records {
		set := ring.Replicas(r.Members, rec.Service, rec.Key)
		old := ring.Replicas(r.Old, rec.Service, rec.Key)
		if all || (among(old, self) && !same(old, set)) {
			c.add(set, rec)
		}
	}
	return c
}

func (c *Copy) add(set []ring.Member, rec Record) {
	var ids []ring.Ident
	var name strings.Builder
	for _, m := range set {
		ids = append(ids, m.Ident)
		name.WriteString(m.String())
		name.WriteByte(' ')
		if m.Ident != c.self {
			p := c.part(m)
			p.Records = append(p.Records, rec)
		}
	}
	c.sets[name.String()] = ids
}

func (c *Copy) part(m ring.Member) *Part {
	for _, p := range c.parts {
		if p.To.Ident == m.Ident {
			return p
		}
	}
	p := &Part{To: m}
	c.parts = append(c.parts, p)
	return p
}

// same tells whether two replica sets are one, in whatever order.
func same(a, b []ring.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !among(b, m.Ident) {
			return false
		}
	}
	return true
}

// Parts gives what has not been acknowledged yet.
func (c *Copy) Parts() (out []Part) {
	for _, p := range c.parts {
		if !c.acked[p.To.Ident] {
			out = append(out, *p)
		}
	}
	return out
}

// Acked notes that a replica has the whole of its part.
func (c *Copy) Acked(to ring.Ident) {
	c.acked[to] = true
}

// Done tells whether a majority of each new replica set has the records.
func (c *Copy) Done() bool {
	for _, set := range c.sets {
		n := 0
		for _, id := range set {
			if id == c.self || c.acked[id] {
				n++
			}
		}
		if n < ring.Majority(len(set)) {
			return false
		}
	}
	return true
}
