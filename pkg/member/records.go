package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that entries are divided into by the hash of their
// names. Comparing bucket digests narrows down where two tables differ. With 2,000
// entries a bucket holds 31.
const Buckets = 64

// digests holds the digests of all entries and of each bucket. Each is the XOR of the
// digests of its entries, so that an update costs the same for any number of entries.
// Entries that are gone are excluded, since each table removes them at its own time.
type digests struct {
	total   uint64
	buckets [Buckets]uint64
}

func (d *digests) toggle(bucket int, digest uint64) {
	d.total ^= digest
	d.buckets[bucket] ^= digest
}

func digestOf(e Entry) uint64 {
	if e.State.Gone() {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, e.ID.Name...)
	b = binary.BigEndian.AppendUint64(b, e.ID.Boot)
	b = binary.BigEndian.AppendUint64(b, e.Sequence)
	b = append(b, byte(e.State), bit(e.Ready)|bit(e.Overloaded)<<1|bit(e.StoreUnavailable)<<2)
	for _, service := range e.Unreachable {
		b = binary.BigEndian.AppendUint32(b, service)
	}
	return xxhash.Sum64(b)
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// bucketDigests returns the digest of each bucket, truncated to the 32 bits that
// suffice to tell two apart.
func (t *Table) bucketDigests() []uint32 {
	all := make([]uint32, Buckets)
	for i, digest := range t.digests.buckets {
		all[i] = uint32(digest)
	}
	return all
}

// add adds an incarnation, which replaces an earlier one of the same name.
func (t *Table) add(e Entry) *record {
	if old, ok := t.records[e.ID.Name]; ok {
		t.unaccount(old)
	}
	hash := xxhash.Sum64String(e.ID.Name)
	r := &record{hash: hash, bucket: int(hash % Buckets)}
	t.records[e.ID.Name] = r
	t.sorted = nil
	t.setEntry(r, e)
	return r
}

// setEntry replaces the entry of a record.
func (t *Table) setEntry(r *record, e Entry) {
	t.digests.toggle(r.bucket, r.digest)
	t.suspects += int(bit(e.State == Suspect)) - int(bit(r.State == Suspect))
	t.unindex(r)
	r.Entry = e
	r.digest = digestOf(e)
	t.byDigest[uint32(r.digest)] = r
	t.digests.toggle(r.bucket, r.digest)
	t.groups = nil
	t.viewChanged = true
}

// unindex removes a record from the index by digest.
func (t *Table) unindex(r *record) {
	if t.byDigest[uint32(r.digest)] == r {
		delete(t.byDigest, uint32(r.digest))
	}
}

// unaccount removes a record from the index, the digests and the count of suspects, and
// stops sending it.
func (t *Table) unaccount(r *record) {
	t.unindex(r)
	t.digests.toggle(r.bucket, r.digest)
	t.suspects -= int(bit(r.State == Suspect))
	r.sendsLeft = 0
}

func (t *Table) remove(r *record) {
	t.unaccount(r)
	delete(t.records, r.ID.Name)
	t.sorted = nil
	t.groups = nil
	t.viewChanged = true
}

func (t *Table) byName() []*record {
	if t.sorted != nil {
		return t.sorted
	}
	for _, r := range t.records {
		t.sorted = append(t.sorted, r)
	}
	slices.SortFunc(t.sorted, func(a, b *record) int { return cmp.Compare(a.ID.Name, b.ID.Name) })
	return t.sorted
}

// announce queues a record with its addresses for the next messages and pushes them.
func (t *Table) announce(r *record) {
	t.enqueue(r, true)
	t.pushPending = true
}

// enqueue adds a record to so many messages that it probably reaches every entry. The
// digests find the entries that it didn't reach.
func (t *Table) enqueue(r *record, withAddresses bool) {
	if !r.queued && len(t.sendQueue) >= maxQueued && r != t.self {
		return
	}
	r.sendsLeft = t.sendCount()
	r.withAddresses = r.withAddresses && r.queued || withAddresses
	if !r.queued {
		r.queued = true
		t.sendQueue = append(t.sendQueue, r)
	}
}

// pruneQueue removes the changes that have been sent often enough.
func (t *Table) pruneQueue() {
	t.sendQueue = slices.DeleteFunc(t.sendQueue, func(r *record) bool {
		r.queued = r.sendsLeft > 0
		return !r.queued
	})
}

func (t *Table) sendCount() int { return bits.Len(uint(len(t.records))) + 1 }

// takeChanges returns queued changes for one message, those sent least often first.
func (t *Table) takeChanges() []Entry {
	t.pruneQueue()
	slices.SortStableFunc(t.sendQueue, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	budget := t.entryBudget()
	var entries []Entry
	for _, r := range t.sendQueue[:min(len(t.sendQueue), maxChanges)] {
		e := r.outgoing()
		if !budget.reserve(e) {
			break
		}
		r.sendsLeft--
		entries = append(entries, e)
	}
	return entries
}

// entryBudget tracks the bytes that a message has left for entries.
type entryBudget struct {
	bytesLeft int
	limited   bool
}

func (t *Table) entryBudget() entryBudget {
	return entryBudget{bytesLeft: t.cfg.MaxEntryBytes, limited: t.cfg.MaxEntryBytes > 0}
}

// entryOverheadBytes is the size of an encoded entry without its strings: numbers,
// state and field tags.
const entryOverheadBytes = 46

// reserve takes the bytes of an entry and reports whether it fits.
func (b *entryBudget) reserve(e Entry) bool {
	if !b.limited {
		return true
	}
	b.bytesLeft -= entryOverheadBytes + len(e.ID.Name) + len(e.CallerAddress) + len(e.PeerAddress) + len(e.Place) + len(e.Region)
	return b.bytesLeft >= 0
}

// creditChanges counts each queued change as sent once more if a peer has the same
// digest, since the peer then has all of them. Otherwise, after a start of hundreds
// of entries at once, messages would be filled for most of a minute with changes that
// every entry already has.
func (t *Table) creditChanges(digest uint64) {
	if digest != t.digests.total {
		return
	}
	for _, r := range t.sendQueue {
		r.sendsLeft = max(r.sendsLeft-1, 0)
	}
}

func (r *record) outgoing() Entry {
	if r.withAddresses {
		return r.Entry
	}
	return r.summary()
}

// View is an immutable snapshot of a table.
type View struct {
	Self    Entry
	Entries []Entry // by name, this entry and those that are gone included
	Digest  uint64
}

// View returns a snapshot of the table.
func (t *Table) View() View {
	v := View{Self: t.self.Entry, Digest: t.digests.total}
	for _, r := range t.byName() {
		v.Entries = append(v.Entries, r.Entry)
	}
	return v
}

// Find returns the entry with a name.
func (v View) Find(name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v.Entries, name, func(e Entry, n string) int { return cmp.Compare(e.ID.Name, n) })
	if !ok {
		return Entry{}, false
	}
	return v.Entries[i], true
}

// Serving returns the entries that requests may be sent to.
func (v View) Serving() []Entry {
	var s []Entry
	for _, e := range v.Entries {
		if e.Serves() {
			s = append(s, e)
		}
	}
	return s
}
