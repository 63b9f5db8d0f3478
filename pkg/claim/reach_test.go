package claim

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

func (o *orders) vote(r *replica, a Ask) Reply {
	if !o.bounds.InContact(o.now, r.ring, r.member.Ident, &r.heard) {
		return r.table.Recall(o.now, a)
	}
	return r.table.Claim(o.now, a)
}

// probe has one entry ask the others whether they are there.
func (o *orders) probe(r *replica) {
	at := o.now
	for _, m := range o.replicas {
		to := m.member.Ident
		o.post(r.member.Name, to.Name, func() {
			now := o.find(to.Name)
			if now.member.Ident != to {
				return
			}
			revision := now.ring.Revision
			o.post(to.Name, r.member.Name, func() {
				if revision <= r.ring.Revision {
					r.heard.Heard(at, to)
				}
			})
		})
	}
}

// some draws a part of the network: the entries at one side of a cut.
func (o *orders) some(t *rapid.T) map[string]bool {
	side := make(map[string]bool)
	for _, r := range o.replicas {
		side[r.member.Name] = rapid.Bool().Draw(t, r.member.Name)
	}
	return side
}

// within probes and delivers at one side of a cut until nothing is under way
// there.
func (o *orders) within(side map[string]bool) {
	for _, r := range o.replicas {
		if side[r.member.Name] {
			o.probe(r)
		}
	}
	inside := func(m message) bool { return side[m.from] && side[m.to] }
	for i := slices.IndexFunc(o.messages, inside); i >= 0; i = slices.IndexFunc(o.messages, inside) {
		m := o.messages[i]
		o.messages = slices.Delete(o.messages, i, i+1)
		m.do()
	}
}

// goOn changes the ring as one side of a cut does that gives up the other.
func (o *orders) goOn(side map[string]bool) {
	unseen := make([]bool, len(o.replicas))
	for i, r := range o.replicas {
		unseen[i] = !side[r.member.Name]
	}
	for range 2 {
		o.propose(unseen)
		for _, r := range o.replicas {
			if side[r.member.Name] {
				o.adopt(r)
			}
		}
		o.within(side)
		for _, r := range o.replicas {
			o.copy(r)
		}
	}
}

// split cuts off two entries, which know nothing of what follows. The others
// give them up, and one key is sent to both sides.
func (o *orders) split(t *rapid.T) {
	two := rapid.Permutation(o.replicas).Draw(t, "two")[:2]
	cut, rest, all := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, r := range o.replicas {
		rest[r.member.Name] = r != two[0] && r != two[1]
		cut[r.member.Name] = !rest[r.member.Name]
		all[r.member.Name] = true
	}
	o.goOn(rest)
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
	if rapid.Bool().Draw(t, "one way") { // they still get answers, but no ring
		o.within(all)
	}
	key := o.key(t)
	o.begin(two[0], key, 1)
	o.within(cut)
	o.now = o.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
	for _, r := range o.replicas {
		if rest[r.member.Name] {
			o.begin(r, key, 1)
			break
		}
	}
	o.within(rest)
}

// message is something under way between two entries.
type message struct {
	from, to string
	do       func()
}

func (o *orders) post(from, to string, do func()) {
	o.messages = append(o.messages, message{from, to, do})
}

// key gives a key without a time, or a UUIDv7 of this very second, so that
// several requests share it.
func (o *orders) key(t *rapid.T) string {
	k := rapid.SampledFrom([]string{"a", "b", "new"}).Draw(t, "key")
	if k != "new" {
		return k
	}
	ms := uint64(o.now.Truncate(5 * time.Second).UnixMilli())
	return fmt.Sprintf("%08x-%04x-7000-8000-000000000001", ms>>16, ms&0xffff)
}
