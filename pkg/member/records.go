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
type sums struct {
	all     uint64
	buckets [Buckets]uint64
}

func (d *sums) mix(bucket int, digest uint64) {
	d.all ^= digest
	d.buckets[bucket] ^= digest
}

func sumOf(e Entry) uint64 {
	if e.State.Gone() {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, e.ID.Name...)
	b = binary.BigEndian.AppendUint64(b, e.ID.Boot)
	b = binary.BigEndian.AppendUint64(b, e.Sequence)
	b = append(b, byte(e.State), bit(e.Ready)|bit(e.Strained)<<1|bit(e.Shut)<<2)
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
func (t *Table) digests() []uint32 {
	all := make([]uint32, Buckets)
	for i, digest := range t.sums.buckets {
		all[i] = uint32(digest)
	}
	return all
}

// add adds an incarnation, which replaces an earlier one of the same name.
func (t *Table) add(e Entry) *record {
	if old, ok := t.records[e.ID.Name]; ok {
		t.discount(old)
	}
	hash := xxhash.Sum64String(e.ID.Name)
	r := &record{hash: hash, bucket: int(hash % Buckets)}
	t.records[e.ID.Name] = r
	t.sorted = nil
	t.put(r, e)
	return r
}

// setEntry replaces the entry of a record.
func (t *Table) put(r *record, e Entry) {
	t.sums.mix(r.bucket, r.sum)
	t.suspects += int(bit(e.State == Suspect)) - int(bit(r.State == Suspect))
	t.unindex(r)
	r.Entry = e
	r.sum = sumOf(e)
	t.bySum[uint32(r.sum)] = r
	t.sums.mix(r.bucket, r.sum)
	t.groups = nil
	t.changed = true
}

// unindex removes a record from the index by digest.
func (t *Table) unindex(r *record) {
	if t.bySum[uint32(r.sum)] == r {
		delete(t.bySum, uint32(r.sum))
	}
}

// unaccount removes a record from the index, the digests and the count of suspects, and
// stops sending it.
func (t *Table) discount(r *record) {
	t.unindex(r)
	t.sums.mix(r.bucket, r.sum)
	t.suspects -= int(bit(r.State == Suspect))
	r.sends = 0
}

func (t *Table) remove(r *record) {
	t.discount(r)
	delete(t.records, r.ID.Name)
	t.sorted = nil
	t.groups = nil
	t.changed = true
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
	t.carry(r, true)
	t.news = true
}

// enqueue adds a record to so many messages that it probably reaches every entry. The
// digests find the entries that it didn't reach.
func (t *Table) carry(r *record, withAddresses bool) {
	if !r.hot && len(t.hot) >= maxHot && r != t.self {
		return
	}
	r.sends = t.spread()
	r.full = r.full && r.hot || withAddresses
	if !r.hot {
		r.hot = true
		t.hot = append(t.hot, r)
	}
}

// pruneQueue removes the changes that have been sent often enough.
func (t *Table) cool() {
	t.hot = slices.DeleteFunc(t.hot, func(r *record) bool {
		r.hot = r.sends > 0
		return !r.hot
	})
}

func (t *Table) spread() int { return bits.Len(uint(len(t.records))) + 1 }

// takeChanges returns queued changes for one message, those sent least often first.
func (t *Table) changes() []Entry {
	t.cool()
	slices.SortStableFunc(t.hot, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	budget := t.room()
	var entries []Entry
	for _, r := range t.hot[:min(len(t.hot), maxChanges)] {
		e := r.said()
		if !budget.take(e) {
			break
		}
		r.sends--
		entries = append(entries, e)
	}
	return entries
}

// entryBudget tracks the bytes that a message has left for entries.
type room struct {
	left  int
	bound bool
}

func (t *Table) room() room { return room{left: t.cfg.Room, bound: t.cfg.Room > 0} }

// entryOverheadBytes is the size of an encoded entry without its strings: numbers,
// state and field tags.
const entryBytes = 46

// reserve takes the bytes of an entry and reports whether it fits.
func (b *room) take(e Entry) bool {
	if !b.bound {
		return true
	}
	b.left -= entryBytes + len(e.ID.Name) + len(e.Caller) + len(e.Peer) + len(e.Place) + len(e.Region)
	return b.left >= 0
}

// creditChanges counts each queued change as sent once more if a peer has the same
// digest, since the peer then has all of them. Otherwise, after a start of hundreds
// of entries at once, messages would be filled for most of a minute with changes that
// every entry already has.
func (t *Table) settle(digest uint64) {
	if digest != t.sums.all {
		return
	}
	for _, r := range t.hot {
		r.sends = max(r.sends-1, 0)
	}
}

func (r *record) said() Entry {
	if r.full {
		return r.Entry
	}
	return r.brief()
}

// View is an immutable snapshot of a table.
type View struct {
	Self    Entry
	Entries []Entry // by name, this entry and those that are gone included
	Digest  uint64
}

// View returns a snapshot of the table.
func (t *Table) View() View {
	v := View{Self: t.self.Entry, Digest: t.sums.all}
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
