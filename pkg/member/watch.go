package member

import "time"

// relays is how many others are asked to ping an entry that did not answer.
const relays = 2

func (t *Table) noAnswer(now time.Time, number uint64) {
	ex, ok := t.exchanges[number]
	if !ok {
		return
	}
	delete(t.exchanges, number)
	if ex.check != (ID{}) {
		t.unreached(now, ex.check)
		return
	}
	t.failed(now, ex.to.ID)
}

// failed starts the indirect check of an incarnation that did not answer.
func (t *Table) failed(now time.Time, id ID) {
	r, ok := t.records[id.Name]
	if !ok || r.ID != id || r == t.self {
		return
	}
	if r.State == Dead {
		t.returning = false
	}
	if r.State.Gone() || r.State == Suspect || t.checks[id] != nil {
		return
	}
	via := t.relaysFor(r)
	if len(via) == 0 || t.many() {
		t.suspect(now, r)
		return
	}
	t.checks[id] = &check{sequence: r.Sequence, left: len(via)}
	for _, v := range via {
		t.reach(v, r)
	}
}

// Losses of many at once. Watchers are lost with those that they watched and half
// of the relays don't answer, so that each would be found after the one before it,
// 0.45 s each: 260 lost among 472 were noticed by all after 3.4 s.
const (
	// manyShare is one in how many entries have to be suspects, and manyLeast how
	// many at the least. Links that lose a tenth of their packets make fewer.
	manyShare = 16
	manyLeast = 3
	// manyNext is how many behind a suspect are asked then.
	manyNext = 4
)

// many tells whether so many are suspected that what leaves a question without an
// answer is suspected at once.
func (t *Table) many() bool {
	return t.suspects >= max(len(t.records)/manyShare, manyLeast)
}

func (t *Table) reach(via, target *record) {
	t.exchange++
	t.exchanges[t.exchange] = exchange{to: via.ref(), check: target.ID}
	t.act(Reach{Exchange: t.exchange, Via: via.ref(), Target: target.ref(), Timeout: t.cfg.Relay})
}

func (t *Table) reached(now time.Time, ev Reached) {
	ex, ok := t.exchanges[ev.Exchange]
	if !ok {
		return
	}
	delete(t.exchanges, ev.Exchange)
	if ev.ID == ex.check {
		delete(t.checks, ex.check)
		return
	}
	t.unreached(now, ex.check)
}

// unreached counts a relay without success. The last one makes a suspicion,
// unless the incarnation has spoken for itself meanwhile.
func (t *Table) unreached(now time.Time, id ID) {
	c, ok := t.checks[id]
	if !ok {
		return
	}
	c.left--
	if c.left > 0 {
		return
	}
	delete(t.checks, id)
	r, ok := t.records[id.Name]
	if ok && r.ID == id && r.Sequence == c.sequence {
		t.suspect(now, r)
	}
}

// relaysFor picks entries in places other than the target's where there are
// any, since a place is often lost as a whole.
func (t *Table) relaysFor(target *record) []*record {
	var far, near []*record
	for _, r := range t.peers().up {
		switch {
		case r == target || r.State != Alive:
		case r.Place != target.Place:
			far = append(far, r)
		default:
			near = append(near, r)
		}
	}
	t.shuffle(far)
	t.shuffle(near)
	all := append(far, near...)
	return all[:min(len(all), relays)]
}

func (t *Table) shuffle(rs []*record) {
	t.rand.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
}
