package member

import (
	"math"
	"slices"
	"time"
)

// An accusation that is older than freshAccusation and reaches an entry which
// believes the accused alive comes from a part of the network that was cut off.
const freshAccusation = 15 * time.Second

// maxDoubts bounds the accusations that wait for verification.
const maxDoubts = 64

// learn takes what a peer says of an incarnation. With all the peer has sent
// its whole view.
func (t *Table) learn(now time.Time, e Entry, all bool) {
	if e.ID.Name == t.self.ID.Name {
		t.learnSelf(now, e)
		return
	}
	r, ok := t.records[e.ID.Name]
	if !ok || e.ID.Boot > r.ID.Boot {
		t.learnNew(now, e, all)
		return
	}
	if !e.newer(r.Entry) {
		return
	}
	if (e.State == Suspect || e.State == Dead) && !r.State.Gone() {
		t.accused(now, r, e)
		return
	}
	t.update(now, r, e)
}

func (t *Table) learnNew(now time.Time, e Entry, all bool) {
	if e.State.Gone() && !(all && e.State == Dead) {
		return
	}
	if e.Brief() {
		t.wants = append(t.wants, e.ID.Name)
		return
	}
	r := t.add(e)
	if e.State == Suspect {
		r.deadline = now.Add(t.suspicion())
	}
	if !all {
		t.announce(r)
	}
}

// learnSelf objects to a wrong statement about this entry with a higher
// sequence number, which overrides it everywhere.
func (t *Table) learnSelf(now time.Time, e Entry) {
	if e.ID.Boot > t.self.ID.Boot {
		t.supersede(now, e.ID)
		return
	}
	if e.ID.Boot < t.self.ID.Boot || !e.newer(t.self.Entry) || t.self.State == Left {
		return
	}
	t.revise(now, func(s *Entry) { s.Sequence = e.Sequence })
}

func (t *Table) supersede(now time.Time, by ID) {
	if t.cfg.Sole {
		t.revise(now, func(s *Entry) { s.ID.Boot = by.Boot + 1 })
		t.carry(t.self, true)
		return
	}
	if t.superseded {
		return
	}
	t.superseded = true
	t.act(Superseded{By: by})
}

// accused takes a suspicion, or the news of a death, of an entry believed up.
//
// Two parts of the network that meet again each hold the other for dead. Taking
// that at its word would take down entries that answer, for a while and all at
// once; so an old accusation is verified with the accused. A fresh one of a
// death begins as a suspicion: the accused has the time to object.
func (t *Table) accused(now time.Time, r *record, e Entry) {
	if r.State != Suspect && now.Sub(e.Since) > freshAccusation {
		t.doubt(e)
		return
	}
	if r.State == Alive {
		e.State = Suspect
	}
	t.update(now, r, e)
}

// accusations gives entries that don't answer, by the digest of what was last
// said of them. While many are lost at once, entries in brief take 17 times the
// room: of 260 lost among 472, all of which had been found after 1 s, the last was
// known everywhere after 3 s.
func (t *Table) accusations() (accused []uint32) {
	if !t.many() {
		return nil
	}
	all := t.byName()
	start := t.rand.IntN(len(all))
	for i := range all {
		r := all[(start+i)%len(all)]
		if r.State == Suspect && r.accuses > 0 && len(accused) < maxAccused {
			r.accuses--
			accused = append(accused, r.was)
		}
	}
	return accused
}

// hearAccused takes what a peer says of entries that don't answer it or others.
func (t *Table) hearAccused(now time.Time, accused []uint32) {
	for _, sum := range accused {
		r := t.bySum[sum]
		if r == nil || r.State != Alive {
			continue
		}
		e := r.Entry
		e.State, e.Since = Suspect, now
		if r == t.self {
			t.learnSelf(now, e)
			continue
		}
		t.update(now, r, e)
	}
}

func (t *Table) doubt(e Entry) {
	for _, d := range t.doubts {
		if d.ID == e.ID {
			return
		}
	}
	if len(t.doubts) < maxDoubts {
		t.doubts = append(t.doubts, e)
	}
}

// update takes a newer statement about a known incarnation. Its addresses stay.
func (t *Table) update(now time.Time, r *record, e Entry) {
	e.Caller, e.Peer, e.Place, e.Region, e.Capacity, e.Marks = r.Caller, r.Peer, r.Place, r.Region, r.Capacity, r.Marks
	if e.State == Suspect && (r.State != Suspect || e.Sequence != r.Sequence) {
		r.deadline = now.Add(t.suspicion())
		r.was, r.accuses = uint32(r.sum), t.spread()
	}
	t.put(r, e)
	t.carry(r, false)
	t.news = true
}

// suspicion gives the time that a suspect has to object. It grows with the
// rounds that the suspicion needs to spread.
func (t *Table) suspicion() time.Duration {
	factor := math.Log2(float64(len(t.records))) / suspicionRounds
	return time.Duration(float64(t.cfg.Suspicion) * max(1, factor))
}

// suspicionRounds is the binary logarithm of the number of entries up to which
// Config.Suspicion holds as it is.
const suspicionRounds = 4

// suspect declares that an incarnation did not answer, and asks the one behind it
// in the order at once: where many are lost together, it may be too, and whoever
// watched it. One that had announced
// its stop is held for dead at once, since a suspect would be located again; it
// is not held for one that left, since it may still run what it took.
func (t *Table) suspect(now time.Time, r *record) {
	e := r.Entry
	e.Since = now
	switch r.State {
	case Alive:
		e.State = Suspect
	case Leaving:
		e.State = Dead
	default:
		return
	}
	before := t.peers().watched
	t.update(now, r, e)
	after := t.peers().watched
	if t.many() {
		after = t.after(t.peers().near, manyNext)
	}
	for _, next := range after {
		if !slices.Contains(before, next) && !t.asks(next) {
			t.gossip(now, next)
		}
	}
}

// asks tells whether an answer of an entry is awaited already.
func (t *Table) asks(r *record) bool {
	for _, ex := range t.exchanges {
		if ex.to.ID == r.ID {
			return true
		}
	}
	return false
}

// expire declares the suspects dead whose time is over, and forgets those that
// are gone for long.
func (t *Table) expire(now time.Time) {
	for _, r := range t.byName() {
		switch {
		case r.State == Suspect && !now.Before(r.deadline):
			e := r.Entry
			e.State = Dead
			e.Since = now
			t.update(now, r, e)
		case r.State == Dead && now.Sub(r.Since) > t.cfg.ForgetDead,
			r.State == Left && now.Sub(r.Since) > t.cfg.ForgetLeft && r != t.self:
			t.remove(r)
		}
	}
}
