package member

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sums holds the digests: the exclusive or over the entries that are not gone,
// so that a change costs the same for any number of entries. Entries that are
// gone are left out, since each table forgets them at a time of its own.
type sums struct {
	all    uint64
	places map[string]uint64
}

func newSums() sums { return sums{places: make(map[string]uint64)} }

func (s *sums) mix(place string, sum uint64) {
	s.all ^= sum
	s.places[place] ^= sum
	if s.places[place] == 0 {
		delete(s.places, place)
	}
}

func sumOf(e Entry) uint64 {
	if e.State.Gone() {
		return 0
	}
	b := make([]byte, 0, 64)
	b = append(b, e.ID.Name...)
	b = binary.BigEndian.AppendUint64(b, e.ID.Boot)
	b = binary.BigEndian.AppendUint64(b, e.Sequence)
	b = append(b, byte(e.State), ready(e))
	return xxhash.Sum64(b)
}

func ready(e Entry) byte {
	if e.Ready {
		return 1
	}
	return 0
}

func (t *Table) digests() []PlaceDigest {
	all := make([]PlaceDigest, 0, len(t.sums.places))
	for p, d := range t.sums.places {
		all = append(all, PlaceDigest{Place: p, Digest: d})
	}
	slices.SortFunc(all, func(a, b PlaceDigest) int { return cmp.Compare(a.Place, b.Place) })
	return all
}

// add puts an incarnation in the place of an earlier one of its name, if any.
func (t *Table) add(e Entry) *record {
	if old, ok := t.records[e.ID.Name]; ok {
		t.sums.mix(old.Place, old.sum)
	}
	r := &record{}
	t.records[e.ID.Name] = r
	t.sorted = nil
	t.put(r, e)
	return r
}

// put replaces what is said of an incarnation.
func (t *Table) put(r *record, e Entry) {
	if r.sum != 0 {
		t.sums.mix(r.Place, r.sum)
	}
	r.Entry = e
	r.sum = sumOf(e)
	if r.sum != 0 {
		t.sums.mix(r.Place, r.sum)
	}
	t.groups = nil
	t.changed = true
}

func (t *Table) remove(r *record) {
	if r.sum != 0 {
		t.sums.mix(r.Place, r.sum)
	}
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
	r.sends = t.spread()
	r.full = full
}

func (t *Table) spread() int { return bits.Len(uint(len(t.records))) + 1 }

// changes takes the records which had the fewest messages so far.
func (t *Table) changes() []Entry {
	var hot []*record
	for _, r := range t.byName() {
		if r.sends > 0 {
			hot = append(hot, r)
		}
	}
	slices.SortStableFunc(hot, func(a, b *record) int { return cmp.Compare(b.sends, a.sends) })
	hot = hot[:min(len(hot), maxChanges)]
	var entries []Entry
	for _, r := range hot {
		r.sends--
		entries = append(entries, r.said())
	}
	return entries
}

// settle counts a peer with the same digest as having heard of every change.
// Without it a start of hundreds of entries at once would fill the messages for
// most of a minute with what everyone knows.
func (t *Table) settle(digest uint64) {
	if digest != t.sums.all {
		return
	}
	for _, r := range t.byName() {
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
