package member

import (
	"time"
)

// exchange is a Send or an IndirectPing that has not ended.
type exchange struct {
	to       Ref
	join     bool
	followUp bool // the second exchange after differing digests
	pinged   ID   // of an IndirectPing: the incarnation that is pinged
}

// indirectCheck is the check of an entry that did not respond: other entries, its
// relays, are asked to ping it.
type indirectCheck struct {
	sequence      uint64 // of the entry when the check began
	pendingRelays int    // relays that have not responded
}

func (t *Table) send(to Ref, m Message, ex exchange) {
	ex.to = to
	t.lastExchange++
	t.exchanges[t.lastExchange] = ex
	t.emit(Send{ExchangeID: t.lastExchange, To: to, Message: m, Timeout: t.cfg.ExchangeTimeout})
}

// newMessage returns a message with the parts that all messages have in common.
func (t *Table) newMessage(now time.Time, to string) Message {
	return Message{
		From:           t.self.ID,
		Digest:         t.digests.total,
		Revisions:      t.revisions,
		Entries:        t.prependSuspicion(to, t.takeChanges()),
		Rumours:        t.takeRumours(now),
		SuspectDigests: t.takeSuspectDigests(),
	}
}

// prependSuspicion puts the receiver's own entry first if it is suspected or gone, so
// that the receiver can refute it at once.
func (t *Table) prependSuspicion(to string, entries []Entry) []Entry {
	r, ok := t.records[to]
	if !ok || r.State == Alive || r.State == Leaving {
		return entries
	}
	return append([]Entry{r.summary()}, entries...)
}

func (t *Table) gossip(now time.Time, r *record) {
	t.send(r.ref(), t.newMessage(now, r.ID.Name), exchange{})
}

func (t *Table) join(now time.Time, address string) {
	m := t.newMessage(now, "")
	m.Join = true
	t.send(Ref{Address: address}, m, exchange{join: true})
}

// handleRequest replies to a peer. If the digests are equal the reply holds no entry,
// unless the request is a join or made this entry refute a suspicion.
func (t *Table) handleRequest(now time.Time, m Message) {
	before := t.self.Sequence
	t.receive(now, m, false)
	t.requestUnknownSender(m.From)
	t.creditChanges(m.Digest)
	reply := Message{From: t.self.ID, Revisions: t.revisions, Rumours: t.takeRumours(now), SuspectDigests: t.takeSuspectDigests()}
	switch {
	case m.Join:
		reply.Entries = t.joinEntries()
	case m.BucketMask != 0:
		reply.Entries = t.missingInBuckets(m)
	case m.Digest != t.digests.total:
		reply.Entries = t.prependSuspicion(m.From.Name, t.takeChanges())
		reply.BucketDigests = t.bucketDigests()
	}
	if t.self.Sequence != before && !m.Join {
		reply.Entries = append([]Entry{t.self.Entry}, reply.Entries...)
	}
	reply.Digest = t.digests.total
	reply.MissingAddresses = t.missingAddresses[:min(len(t.missingAddresses), maxAddressRequests)]
	t.emit(Reply{Message: reply})
}

// requestUnknownSender asks an unknown sender for its entry. A sender with this entry's
// own name is another incarnation of it.
func (t *Table) requestUnknownSender(from ID) {
	if from.Name == t.self.ID.Name {
		t.refute(t.lastEvent, Entry{ID: from})
		return
	}
	if r, ok := t.records[from.Name]; !ok || r.ID.Boot < from.Boot {
		t.missingAddresses = append(t.missingAddresses, from.Name)
	}
}

// receive merges the content of a request or a response. all is set for the response
// to a join.
func (t *Table) receive(now time.Time, m Message, all bool) {
	for _, e := range m.Entries {
		t.merge(now, e, all)
	}
	t.receiveSuspectDigests(now, m.SuspectDigests)
	t.receiveRumours(now, m.Rumours)
	t.lastReceived = now
	r, ok := t.records[m.From.Name]
	if !ok || r.ID != m.From || r == t.self {
		return
	}
	t.setEntryRevisions(r, m.Revisions)
	if t.revisions.olderThan(m.Revisions) {
		t.emit(PeerAhead{Peer: r.ref(), Revisions: m.Revisions})
	}
}

func (t *Table) joinEntries() []Entry {
	if t.cfg.BulkThreshold > 0 {
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
func (t *Table) EntryDigests() []uint32 {
	digests := make([]uint32, 0, len(t.records))
	for _, r := range t.byName() {
		if !r.State.Gone() {
			digests = append(digests, uint32(r.digest))
		}
	}
	return digests
}

// EntriesMissingFrom returns the entries that are missing from a peer's view, or
// differ there, given the peer's EntryDigests. Entries that left are excluded.
func (t *Table) EntriesMissingFrom(digests []uint32) (entries []Entry) {
	has := make(map[uint32]bool, len(digests))
	for _, digest := range digests {
		has[digest] = true
	}
	for _, r := range t.byName() {
		if r.State != Left && !has[uint32(r.digest)] && len(entries) < MaxJoin {
			entries = append(entries, r.Entry)
		}
	}
	return entries
}

// missingInBuckets returns the entries of the buckets in a message's BucketMask that
// its sender lacks, or whose state it has out of date.
func (t *Table) missingInBuckets(m Message) []Entry {
	has := make(map[string]Entry, len(m.Entries))
	for _, e := range m.Entries {
		has[e.ID.Name] = e
	}
	var entries []Entry
	budget := t.entryBudget()
	for _, r := range t.byName() {
		if m.BucketMask&(1<<r.bucket) == 0 || len(entries) == MaxEntries {
			continue
		}
		var missing Entry
		e, ok := has[r.ID.Name]
		switch {
		case !ok && !r.State.Gone(), ok && r.ID.Boot > e.ID.Boot:
			missing = r.Entry
		case ok && r.newer(e):
			missing = r.summary()
		default:
			continue
		}
		if !budget.reserve(missing) {
			break
		}
		entries = append(entries, missing)
	}
	return entries
}

func (t *Table) handleResponse(now time.Time, ev Response) {
	ex, ok := t.exchanges[ev.ExchangeID]
	if !ok {
		return
	}
	delete(t.exchanges, ev.ExchangeID)
	m := ev.Message
	if ex.to.ID != (ID{}) && ex.to.ID != m.From {
		t.startIndirectCheck(now, ex.to.ID)
	} else {
		t.noteResponse(m.From)
	}
	t.receive(now, m, ex.join)
	t.creditChanges(m.Digest)
	t.joined = t.joined || ex.join
	for _, name := range m.MissingAddresses {
		if r, ok := t.records[name]; ok {
			t.enqueue(r, true)
			t.pushPending = true
		}
	}
	if !ex.followUp && !t.followedUp && len(m.BucketDigests) == Buckets && m.Digest != t.digests.total {
		t.followUp(now, Ref{ID: m.From, Address: ex.to.Address}, m.BucketDigests)
	}
}

// noteResponse records that an incarnation has responded to this entry.
func (t *Table) noteResponse(id ID) {
	delete(t.checks, id)
	if r, ok := t.records[id.Name]; ok && r.State == Dead {
		t.deadReturning = true
	}
}

// followUp sends summaries of the buckets whose digests differ, as many as fit into
// the message. If at least BulkThreshold buckets differ, it emits a Fetch instead.
func (t *Table) followUp(now time.Time, to Ref, theirs []uint32) {
	t.followedUp = true
	differing := t.differingBuckets(theirs)
	if t.cfg.BulkThreshold > 0 && len(differing) >= t.cfg.BulkThreshold {
		t.emit(Fetch{From: to})
		return
	}
	m := t.newMessage(now, "")
	m.BucketMask, m.Entries = t.summarizeBuckets(differing)
	t.send(to, m, exchange{followUp: true})
}

func (t *Table) differingBuckets(theirs []uint32) (buckets []int) {
	for i, digest := range t.bucketDigests() {
		if theirs[i] != digest {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// summarizeBuckets returns summaries of the entries of buckets, and a bit for each
// bucket that is complete. It starts at a random bucket, so that buckets that don't
// fit are included in a later message.
func (t *Table) summarizeBuckets(buckets []int) (mask uint64, entries []Entry) {
	budget := t.entryBudget()
	start := t.rand.IntN(len(buckets))
	for i := range buckets {
		bucket := buckets[(start+i)%len(buckets)]
		summaries := t.bucketSummaries(bucket)
		if len(entries) > 0 && len(entries)+len(summaries) > MaxEntries {
			break
		}
		for _, e := range summaries {
			if !budget.reserve(e) && len(entries) > 0 {
				return mask, entries
			}
		}
		mask |= 1 << bucket
		entries = append(entries, summaries...)
	}
	return mask, entries
}

func (t *Table) bucketSummaries(n int) (entries []Entry) {
	for _, r := range t.byName() {
		if r.bucket == n {
			entries = append(entries, r.summary())
		}
	}
	return entries
}
