package faults

import (
	"slices"

	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// probe asks the members of the ring whether they are there, as internal/claims
// does.
func (n *node) probe() {
	for _, m := range slices.Concat(n.ring.Members, n.ring.Old) {
		if m.Ident == n.self.Ident {
			continue
		}
		at := n.now()
		serve := func(o *node) present { return present{o.self.Ident, o.ring.Revision} }
		rpc(n.w, n, m, serve, func(p present, ok bool) {
			if ok && p.id == m.Ident && p.revision <= n.ring.Revision {
				n.contact.Heard(at, m.Ident)
			}
		})
	}
}

// present is the answer to a probe.
type present struct {
	id       ring.Ident
	revision uint64
}

// vote answers a claim.
func (n *node) vote(a claim.Ask) claim.Reply {
	if !n.w.bounds.InContact(n.now(), n.ring, n.self.Ident, &n.contact) {
		return n.table.Recall(n.now(), a)
	}
	return n.table.Claim(n.now(), a)
}

// newest gives the newest ring that an entry has in force.
func (w *world) newest() (newest ring.Ring) {
	for _, n := range w.alive() {
		if n.ring.Newer(newest) {
			newest = n.ring
		}
	}
	return newest
}
