package member

import (
	"slices"
	"time"
)

// exchange is a Send or a Reach whose end is awaited.
type exchange struct {
	to     Ref
	join   bool
	follow bool // the second exchange after differing digests
	check  ID   // of a Reach: whom it checks
}

// check is an indirect check of an entry that did not answer.
type check struct {
	sequence uint64
	left     int // relays whose answer is awaited
}

func (t *Table) send(to Ref, m Message, ex exchange) {
	ex.to = to
	t.exchange++
	t.exchanges[t.exchange] = ex
	t.act(Send{Exchange: t.exchange, To: to, Message: m, Timeout: t.cfg.Timeout})
}

// message gives what every message to an entry holds.
func (t *Table) message(now time.Time, to string) Message {
	return Message{
		From:    t.self.ID,
		Digest:  t.sums.all,
		Marks:   t.marks,
		Entries: t.withVerdict(to, t.changes()),
		Rumours: t.takeRumours(now),
	}
}

// withVerdict puts in front what is held against the receiver, so that it can
// object at once.
func (t *Table) withVerdict(to string, entries []Entry) []Entry {
	r, ok := t.records[to]
	if !ok || r.State == Alive || r.State == Leaving {
		return entries
	}
	return append([]Entry{r.brief()}, entries...)
}

func (t *Table) gossip(now time.Time, r *record) {
	t.send(r.ref(), t.message(now, r.ID.Name), exchange{})
}

func (t *Table) join(now time.Time, address string) {
	m := t.message(now, "")
	m.Join = true
	t.send(Ref{Address: address}, m, exchange{join: true})
}

// request answers a peer. When the digests agree the answer holds no entry.
func (t *Table) request(now time.Time, m Message) {
	before := t.self.Sequence
	t.receive(now, m, false)
	t.greet(m.From)
	t.settle(m.Digest)
	reply := Message{From: t.self.ID, Marks: t.marks, Rumours: t.takeRumours(now)}
	switch {
	case m.Join:
		reply.Entries = t.everything()
	case len(m.Ask) > 0:
		reply.Entries = t.lacking(m)
	case m.Digest != t.sums.all:
		reply.Entries = t.withVerdict(m.From.Name, t.changes())
		reply.Places = t.digests()
	}
	if t.self.Sequence != before && !m.Join {
		reply.Entries = append([]Entry{t.self.Entry}, reply.Entries...)
	}
	reply.Digest = t.sums.all
	reply.Want = t.wants
	t.act(Reply{Message: reply})
}

// greet asks a sender that is not known for its entry.
func (t *Table) greet(from ID) {
	if from.Name == t.self.ID.Name {
		t.learnSelf(t.handled, Entry{ID: from})
		return
	}
	if r, ok := t.records[from.Name]; !ok || r.ID.Boot < from.Boot {
		t.wants = append(t.wants, from.Name)
	}
}

// receive takes what a message of either direction holds.
func (t *Table) receive(now time.Time, m Message, all bool) {
	for _, e := range m.Entries {
		t.learn(now, e, all)
	}
	t.hear(now, m.Rumours)
	r, ok := t.records[m.From.Name]
	if !ok || r.ID != m.From || r == t.self {
		return
	}
	t.hearMarks(r, m.Marks)
	if m.Marks.Settings > t.marks.Settings {
		t.act(Behind{Peer: r.ref(), Marks: m.Marks})
	}
}

func (t *Table) everything() []Entry {
	var all []Entry
	for _, r := range t.byName() {
		if r.State != Left && len(all) < MaxJoin {
			all = append(all, r.Entry)
		}
	}
	return all
}

// lacking gives what the sender of a message lacks of the places in its Ask.
func (t *Table) lacking(m Message) []Entry {
	has := make(map[string]Entry, len(m.Entries))
	for _, e := range m.Entries {
		has[e.ID.Name] = e
	}
	var entries []Entry
	for _, r := range t.byName() {
		if !slices.Contains(m.Ask, r.Place) || len(entries) == MaxEntries {
			continue
		}
		e, ok := has[r.ID.Name]
		switch {
		case !ok && !r.State.Gone(), ok && r.ID.Boot > e.ID.Boot:
			entries = append(entries, r.Entry)
		case ok && r.newer(e):
			entries = append(entries, r.brief())
		}
	}
	return entries
}

func (t *Table) answer(now time.Time, ev Answer) {
	ex, ok := t.exchanges[ev.Exchange]
	if !ok {
		return
	}
	delete(t.exchanges, ev.Exchange)
	m := ev.Message
	if ex.to.ID != (ID{}) && ex.to.ID != m.From {
		t.failed(now, ex.to.ID)
	} else {
		t.answered(m.From)
	}
	t.receive(now, m, ex.join)
	t.settle(m.Digest)
	t.joined = t.joined || ex.join
	for _, name := range m.Want {
		if r, ok := t.records[name]; ok {
			t.carry(r, true)
			t.news = true
		}
	}
	if !ex.follow && !t.followed && len(m.Places) > 0 && m.Digest != t.sums.all {
		t.follow(now, Ref{ID: m.From, Address: ex.to.Address}, m.Places)
	}
}

// answered notes that an incarnation is up as seen from here.
func (t *Table) answered(id ID) {
	delete(t.checks, id)
	if r, ok := t.records[id.Name]; ok && r.State == Dead {
		t.returning = true
	}
}

// follow sends in brief the entries of the places whose digests differ.
func (t *Table) follow(now time.Time, to Ref, theirs []PlaceDigest) {
	t.followed = true
	places := t.differing(theirs)
	m := t.message(now, "")
	m.Ask = places
	m.Entries = t.listing(places)
	t.send(to, m, exchange{follow: true})
}

func (t *Table) differing(theirs []PlaceDigest) []string {
	var places []string
	seen := make(map[string]bool, len(theirs))
	for _, p := range theirs {
		seen[p.Place] = true
		if t.sums.places[p.Place] != p.Digest {
			places = append(places, p.Place)
		}
	}
	for _, p := range t.digests() {
		if !seen[p.Place] {
			places = append(places, p.Place)
		}
	}
	return places
}

// listing gives the entries of places in brief. It starts anywhere, so that
// what goes beyond the bound has its turn another time.
func (t *Table) listing(places []string) []Entry {
	var entries []Entry
	all := t.byName()
	start := t.rand.IntN(len(all))
	for i := range all {
		r := all[(start+i)%len(all)]
		if slices.Contains(places, r.Place) && len(entries) < MaxEntries {
			entries = append(entries, r.brief())
		}
	}
	return entries
}
