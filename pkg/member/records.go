package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is into how many parts entries are dealt out by their names, so that
// a difference between two tables is found by comparing a few of them. Of 2,000
// entries 31 are in each.
const Buckets = 64

// sums holds the digests: the exclusive or over the entries that are not gone,
// so that a change costs the same for any number of entries. Entries that are
// gone are left out, since each table forgets them at a time of its own.
type sums struct {
	all     uint64
	buckets [Buckets]uint64
}

func (s *sums) mix(bucket int, sum uint64) {
	s.all ^= sum
	s.buckets[bucket] ^= sum
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

func bit(is bool) byte {
	if is {
		return 1
	}
	return 0
}

// digests gives the digest of each bucket, cut to what tells two apart.
func (t *Table) digests() []uint32 {
	all := make([]uint32, Buckets)
	for i, sum := range t.sums.buckets {
		all[i] = uint32(sum)
	}
	return all
}

// add puts an incarnation in the place of an earlier one of its name, if any.
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

// put replaces what is said of an incarnation.
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

// unindex forgets the digest of what was last said of an incarnation.
func (t *Table) unindex(r *record) {
	if t.bySum[uint32(r.sum)] == r {
		delete(t.bySum, uint32(r.sum))
	}
}

// discount takes a record out of all that is worked out over the records.
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

// announce lets the next messages carry a record, and pushes them.
func (t *Table) announce(r *record) {
	t.carry(r, true)
	t.news = true
}

// carry lets as many messages carry a record as make it likely that everyone
// hears of it; the digests find whoever did not.
func (t *Table) carry(r *record, full bool) {
	if !r.hot && len(t.hot) >= maxHot && r != t.self {
		return
	}
	r.sends = t.spread()
	r.full = r.full && r.hot || full
	if !r.hot {
		r.hot = true
		t.hot = append(t.hot, r)
	}
}

// cool drops the changes that have been carried often enough.
func (t *Table) cool() {
	t.hot = slices.DeleteFunc(t.hot, func(r *record) bool {
		r.hot = r.sends > 0
		return !r.hot
	})
}

func (t *Table) spread() int { return bits.Len(uint(len(t.records))) + 1 }

// changes takes the records which had the fewest messages so far.
func (t *Table) changes() []Entry {
	t.cool()
	slices.SortStableFunc(t.hot, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	room := t.room()
	var entries []Entry
	for _, r := range t.hot[:min(len(t.hot), maxChanges)] {
		e := r.said()
		if !room.take(e) {
			break
		}
		r.sends--
		entries = append(entries, e)
	}
	return entries
}

// room is what is left of a message's bytes for entries.
type room struct {
	left  int
	bound bool
}

func (t *Table) room() room { return room{left: t.cfg.Room, bound: t.cfg.Room > 0} }

// entryBytes is what an entry takes beside its texts: numbers, state and tags.
const entryBytes = 46

func (r *room) take(e Entry) bool {
	if !r.bound {
		return true
	}
	r.left -= entryBytes + len(e.ID.Name) + len(e.Caller) + len(e.Peer) + len(e.Place) + len(e.Region)
	return r.left >= 0
}

// settle counts a peer with the same digest as having heard of every change.
// Without it a start of hundreds of entries at once would fill the messages for
// most of a minute with what everyone knows.
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

// View is what an entry knows at one time. It is not changed after it was given
// out.
type View struct {
	Self    Entry
	Entries []Entry // by name, this entry and those that are gone included
	Digest  uint64
}

// View gives a copy of the table.
func (t *Table) View() View {
	v := View{Self: t.self.Entry, Digest: t.sums.all}
	for _, r := range t.byName() {
		v.Entries = append(v.Entries, r.Entry)
	}
	return v
}

// Find gives the entry of a name.
func (v View) Find(name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(v.Entries, name, func(e Entry, n string) int { return cmp.Compare(e.ID.Name, n) })
	if !ok {
		return Entry{}, false
	}
	return v.Entries[i], true
}

// Serving gives the entries that requests may be sent to.
func (v View) Serving() []Entry {
	var s []Entry
	for _, e := range v.Entries {
		if e.Serves() {
			s = append(s, e)
		}
	}
	return s
}
