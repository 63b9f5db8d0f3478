package member

import (
	"time"
)

// exchange is a Send or an IndirectPing that has not ended.
type exchange struct {
	to     Ref
	join   bool
	follow bool // the second exchange after differing digests
	check  ID   // of an IndirectPing: the incarnation that is pinged
}

// indirectCheck checks an entry that did not respond, through relays.
type check struct {
	sequence uint64
	left     int // relays that have not responded
}

func (t *Table) send(to Ref, m Message, ex exchange) {
	ex.to = to
	t.exchange++
	t.exchanges[t.exchange] = ex
	t.act(Send{Exchange: t.exchange, To: to, Message: m, Timeout: t.cfg.Timeout})
}

// newMessage returns a message with the parts that all messages have in common.
func (t *Table) message(now time.Time, to string) Message {
	return Message{
		From:    t.self.ID,
		Digest:  t.sums.all,
		Marks:   t.marks,
		Entries: t.withVerdict(to, t.changes()),
		Rumours: t.takeRumours(now),
		Accused: t.accusations(),
	}
}

// prependSuspicion puts the receiver's own entry first if it is suspected or gone, so
// that the receiver can refute it at once.
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

// handleRequest replies to a peer. If the digests are equal the reply holds no entry.
func (t *Table) request(now time.Time, m Message) {
	before := t.self.Sequence
	t.receive(now, m, false)
	t.greet(m.From)
	t.settle(m.Digest)
	reply := Message{From: t.self.ID, Marks: t.marks, Rumours: t.takeRumours(now), Accused: t.accusations()}
	switch {
	case m.Join:
		reply.Entries = t.everything()
	case m.Ask != 0:
		reply.Entries = t.lacking(m)
	case m.Digest != t.sums.all:
		reply.Entries = t.withVerdict(m.From.Name, t.changes())
		reply.Sums = t.digests()
	}
	if t.self.Sequence != before && !m.Join {
		reply.Entries = append([]Entry{t.self.Entry}, reply.Entries...)
	}
	reply.Digest = t.sums.all
	reply.Want = t.wants[:min(len(t.wants), maxWants)]
	t.act(Reply{Message: reply})
}

// requestUnknownSender asks an unknown sender for its entry. A sender with this entry's
// own name is another incarnation of it.
func (t *Table) greet(from ID) {
	if from.Name == t.self.ID.Name {
		t.learnSelf(t.handled, Entry{ID: from})
		return
	}
	if r, ok := t.records[from.Name]; !ok || r.ID.Boot < from.Boot {
		t.wants = append(t.wants, from.Name)
	}
}

// receive merges the content of a request or a response.
func (t *Table) receive(now time.Time, m Message, all bool) {
	for _, e := range m.Entries {
		t.learn(now, e, all)
	}
	t.hearAccused(now, m.Accused)
	t.hear(now, m.Rumours)
	t.heard = now
	r, ok := t.records[m.From.Name]
	if !ok || r.ID != m.From || r == t.self {
		return
	}
	t.hearMarks(r, m.Marks)
	if t.marks.behind(m.Marks) {
		t.act(Behind{Peer: r.ref(), Marks: m.Marks})
	}
}

func (t *Table) everything() []Entry {
	if t.cfg.Bulk > 0 {
		return []Entry{t.self.Entry} // the sender fetches the rest, since its digest differs
	}
	var all []Entry
	for _, r := range t.byName() {
		if r.State != Left && len(all) < MaxJoin {
			all = append(all, r.Entry)
		}
	}
	return all
}

// EntryDigests returns a digest of each entry that is not gone, for a peer's
// EntriesMissingFrom.
func (t *Table) Known() []uint32 {
	digests := make([]uint32, 0, len(t.records))
	for _, r := range t.byName() {
		if !r.State.Gone() {
			digests = append(digests, uint32(r.sum))
		}
	}
	return digests
}

// EntriesMissingFrom returns the entries that are missing from a peer's view, or
// differ there, given the peer's EntryDigests.
func (t *Table) Lacking(digests []uint32) (entries []Entry) {
	has := make(map[uint32]bool, len(digests))
	for _, digest := range digests {
		has[digest] = true
	}
	for _, r := range t.byName() {
		if r.State != Left && !has[uint32(r.sum)] && len(entries) < MaxJoin {
			entries = append(entries, r.Entry)
		}
	}
	return entries
}

// missingInBuckets returns the entries of the buckets in a message's BucketMask that
// its sender lacks, or whose state it has out of date.
func (t *Table) lacking(m Message) []Entry {
	has := make(map[string]Entry, len(m.Entries))
	for _, e := range m.Entries {
		has[e.ID.Name] = e
	}
	var entries []Entry
	budget := t.room()
	for _, r := range t.byName() {
		if m.Ask&(1<<r.bucket) == 0 || len(entries) == MaxEntries {
			continue
		}
		var missing Entry
		e, ok := has[r.ID.Name]
		switch {
		case !ok && !r.State.Gone(), ok && r.ID.Boot > e.ID.Boot:
			missing = r.Entry
		case ok && r.newer(e):
			missing = r.brief()
		default:
			continue
		}
		if !budget.take(missing) {
			break
		}
		entries = append(entries, missing)
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
	if !ex.follow && !t.followed && len(m.Sums) == Buckets && m.Digest != t.sums.all {
		t.follow(now, Ref{ID: m.From, Address: ex.to.Address}, m.Sums)
	}
}

// noteResponse records that an incarnation has responded to this entry.
func (t *Table) answered(id ID) {
	delete(t.checks, id)
	if r, ok := t.records[id.Name]; ok && r.State == Dead {
		t.returning = true
	}
}

// followUp sends summaries of the buckets whose digests differ, as many as fit into
// the message.
func (t *Table) follow(now time.Time, to Ref, theirs []uint32) {
	t.followed = true
	differing := t.differing(theirs)
	if t.cfg.Bulk > 0 && len(differing) >= t.cfg.Bulk {
		t.act(Fetch{From: to})
		return
	}
	m := t.message(now, "")
	m.Ask, m.Entries = t.listing(differing)
	t.send(to, m, exchange{follow: true})
}

func (t *Table) differing(theirs []uint32) (buckets []int) {
	for i, digest := range t.digests() {
		if theirs[i] != digest {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// summarizeBuckets returns summaries of the entries of buckets, and a bit for each
// bucket that is complete. It starts at a random bucket, so that buckets that don't
// fit are included in a later message.
func (t *Table) listing(buckets []int) (mask uint64, entries []Entry) {
	budget := t.room()
	start := t.rand.IntN(len(buckets))
	for i := range buckets {
		bucket := buckets[(start+i)%len(buckets)]
		summaries := t.bucket(bucket)
		if len(entries) > 0 && len(entries)+len(summaries) > MaxEntries {
			break
		}
		for _, e := range summaries {
			if !budget.take(e) && len(entries) > 0 {
				return mask, entries
			}
		}
		mask |= 1 << bucket
		entries = append(entries, summaries...)
	}
	return mask, entries
}

func (t *Table) bucket(n int) (entries []Entry) {
	for _, r := range t.byName() {
		if r.bucket == n {
			entries = append(entries, r.brief())
		}
	}
	return entries
}
