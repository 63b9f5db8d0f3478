package faults

import (
	"time"

	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

const (
	tick    = time.Second
	turn    = 500 * time.Millisecond
	maxSkew = 25 * time.Second // either way; two clocks stay within ring.Config.Skew
)

// node is one incarnation of an entry, with the decision code of pkg/claim and
// pkg/ring in it.
type node struct {
	w       *world
	self    ring.Member
	skew    time.Duration
	dead    bool
	paused  bool
	leaving bool
	backlog []func()

	table    *claim.Table
	ring     ring.Ring
	since    time.Time
	synced   uint64
	copy     *claim.Copy
	contact  ring.Contact
	seen     []ring.Seen
	syncs    map[ring.Ident]uint64
	due      time.Time
	under    uint64
	busy     bool // a call of the store is on its way
	attempts uint64
	flights  []*flight
}

func (w *world) start(name, place string) *node {
	boot := uint64(1)
	for _, n := range w.nodes {
		if n.self.Name == name {
			boot = n.self.Boot + 1
		}
	}
	n := &node{w: w, skew: w.between(-maxSkew, maxSkew), syncs: make(map[ring.Ident]uint64)}
	n.self = ring.Member{Ident: ring.Ident{Name: name, Boot: boot}, Peer: name, Place: place}
	cfg := claim.Default(n.self.Ident, n.now())
	cfg.Retention = w.bounds.Retention
	n.table = claim.New(cfg)
	n.since = n.now()
	w.nodes = append(w.nodes, n)
	w.after(n, w.between(0, tick), n.tick)
	return n
}

// now is the process's own clock.
func (n *node) now() time.Time {
	return epoch.Add(n.w.now + n.skew)
}

func (n *node) tick() {
	w := n.w
	w.after(n, tick, n.tick)
	n.hear(n.beat())
	beat := n.beat()
	for _, m := range w.alive() {
		if m != n {
			w.send(n.self.Name, m.self.Name, func(m *node) { m.hear(beat) })
		}
	}
	n.probe()
	n.copying()
	n.look()
}

// beat is a heartbeat.
type beat struct {
	from    ring.Member
	leaving bool
	ring    uint64
	synced  uint64
}

func (n *node) beat() beat {
	return beat{n.self, n.leaving, n.ring.Revision, n.synced}
}

func (n *node) hear(b beat) {
	n.syncs[b.from.Ident] = max(n.syncs[b.from.Ident], b.synced)
	for i := range n.seen {
		s := &n.seen[i]
		if s.Ident == b.from.Ident {
			s.Last = n.now()
			s.Leaving = s.Leaving || b.leaving
			s.Ring = max(s.Ring, b.ring)
			return
		}
	}
	n.seen = append(n.seen, ring.Seen{Member: b.from, First: n.now(), Last: n.now(), Leaving: b.leaving, Ring: b.ring})
}

func (n *node) view() ring.View {
	v := ring.View{Seen: n.seen, Since: n.since}
	for _, d := range n.w.gone {
		if d.at <= n.w.now {
			v.Gone = append(v.Gone, d.id)
		}
	}
	for id, revision := range n.syncs {
		if revision == n.ring.Revision && revision > 0 {
			v.Synced = append(v.Synced, id)
		}
	}
	return v
}

func (n *node) adopt(r ring.Ring) {
	if !r.Newer(n.ring) {
		return
	}
	n.ring = r
	n.since = n.now()
	n.table.Adopt(r.Revision)
	n.copy = nil
	if claim.Owes(r, n.self.Ident) {
		n.copy = claim.Plan(r, n.self.Ident, n.table.Records(n.now()))
	}
	n.contact.Keep(r)
	n.probe()
	n.copying()
	for _, f := range n.flights {
		f.step(claim.Changed{Ring: r})
	}
}

func (n *node) offer(document []byte) {
	if r, err := ring.Decode(document); err == nil {
		n.adopt(r)
	}
}

// copying sends what is still owed, and notes when that is enough.
func (n *node) copying() {
	plan := n.copy
	if plan == nil {
		return
	}
	if plan.Done() {
		n.synced = n.ring.Revision
		n.copy = nil
		return
	}
	for _, p := range plan.Parts() {
		take := func(m *node) bool { return m.take(p) }
		rpc(n.w, n, p.To, take, func(took, ok bool) {
			if took && ok && n.copy == plan {
				plan.Acked(p.To.Ident)
			}
		})
	}
}

func (n *node) take(p claim.Part) bool {
	if p.To.Ident != n.self.Ident {
		return false
	}
	n.table.Take(n.now(), p.Records)
	return true
}

// fetch takes the ring of another entry.
func (n *node) fetch(from ring.Member) {
	document := func(m *node) ring.Ring { return m.ring }
	rpc(n.w, n, from, document, func(r ring.Ring, ok bool) {
		if ok {
			n.adopt(r)
		}
	})
}
