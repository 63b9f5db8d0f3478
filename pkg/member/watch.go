package member

import "time"

// maxRelays is the number of entries that are asked to ping an entry that did not
// respond.
const relays = 2

func (t *Table) noAnswer(now time.Time, id uint64) {
	ex, ok := t.exchanges[id]
	if !ok {
		return
	}
	delete(t.exchanges, id)
	if ex.check != (ID{}) {
		t.unreached(now, ex.check)
		return
	}
	t.failed(now, ex.to.ID)
}

// startIndirectCheck checks an incarnation that did not respond, through relays.
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

// Mass failures. Watchers fail together with the entries that they watch, and half of
// the relays don't respond. Failures would then be detected one after the other, 0.45 s
// each: 260 failures among 472 entries took 3.4 s to reach every entry.
const (
	// Suspects make up a mass failure if they are one in massFailureDivisor entries, and
	// at least massFailureMinSuspects. Links that lose a tenth of their packets cause
	// fewer suspects.
	manyShare = 16
	manyLeast = 3
	// massFailureSuccessors is the number of successors that are contacted when an
	// entry becomes a suspect in a mass failure.
	manyNext = 4
)

// massFailure reports whether there are so many suspects that an entry that doesn't
// respond is suspected at once, without an indirect check.
func (t *Table) many() bool {
	return t.suspects >= max(len(t.records)/manyShare, manyLeast)
}

func (t *Table) reach(via, peer *record) {
	t.exchange++
	t.exchanges[t.exchange] = exchange{to: via.ref(), check: peer.ID}
	t.act(Reach{Exchange: t.exchange, Via: via.ref(), Target: peer.ref(), Timeout: t.cfg.Relay})
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

// relayFailed counts a relay that could not reach an incarnation. After the last one
// the incarnation becomes a suspect, unless its sequence number has changed meanwhile.
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

// pickRelays returns random relays for a peer, preferably from other places than the
// peer's, since a place often fails as a whole.
func (t *Table) relaysFor(peer *record) []*record {
	var otherPlaces, samePlace []*record
	for _, r := range t.peers().up {
		switch {
		case r == peer || r.State != Alive:
		case r.Place != peer.Place:
			otherPlaces = append(otherPlaces, r)
		default:
			samePlace = append(samePlace, r)
		}
	}
	t.shuffle(otherPlaces)
	t.shuffle(samePlace)
	all := append(otherPlaces, samePlace...)
	return all[:min(len(all), relays)]
}

func (t *Table) shuffle(rs []*record) {
	t.rand.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
}
