package faults

import (
	"time"

	"plumpitch.example/plumpitch/pkg/ring"
)

// look takes newer rings and proposes changes, as internal/claims does.
func (n *node) look() {
	for _, s := range n.seen {
		if s.Ident != n.self.Ident && s.Ring > n.ring.Revision {
			n.fetch(s.Member)
			break
		}
	}
	next, ok := n.w.bounds.Next(n.now(), n.ring, n.view())
	if !ok {
		n.due = time.Time{}
	} else if n.due.IsZero() || n.under != n.ring.Revision {
		n.due, n.under = n.now(), n.ring.Revision
	}
	if n.busy || (!ok && n.ring.Revision > 0) {
		return
	}
	if ok && n.now().Sub(n.due) < n.rank() {
		return
	}
	n.propose(n.ring, next, ok)
}

func (n *node) rank() time.Duration {
	var live []ring.Member
	for _, s := range n.seen {
		live = append(live, s.Member)
	}
	return time.Duration(ring.Rank(live, n.ring.Revision+1, n.self.Ident)) * turn
}

func (n *node) propose(cur, next ring.Ring, write bool) {
	n.busy = true
	n.w.get(n, func(document []byte, version uint64, ok bool) {
		n.busy = false
		if !ok {
			return
		}
		var stored ring.Ring
		if version > 0 {
			stored, _ = ring.Decode(document)
		}
		if stored.Newer(cur) {
			n.adopt(stored)
			return
		}
		if !write || stored.Revision != cur.Revision || n.ring.Revision != cur.Revision {
			return
		}
		n.write(next, version)
	})
}

func (n *node) write(next ring.Ring, version uint64) {
	document, err := ring.Encode(next)
	if err != nil {
		panic(err)
	}
	n.busy = true
	n.w.put(n, document, version, func(ok bool) {
		n.busy = false
		if ok {
			n.offer(document)
		}
	})
}
