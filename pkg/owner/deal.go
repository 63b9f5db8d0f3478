package owner

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Deal gives hosts their owners among one list of live entries. What depends on
// the list alone is worked out once.
//
// An entry that sees all requests of a service knows how many each target
// holds, so there are no more owners than the load takes. Hosts are told apart
// by name only: routes come and go with each version of a configuration, and
// were the owners to follow them, callers would be sent back and forth, to
// entries that have learnt nothing. The first ones are dealt out over different
// entries before any host gets further ones, so that they depend on no count.
type Deal struct {
	live   []Candidate
	place  []int // of each entry, as a number
	places int
	owned  []int // hosts that each entry is among the first owners of
	first  map[string][]int
	scores map[string][]uint64
}

// New deals out the first owners of hosts.
func New(live []Candidate, hosts []string) *Deal {
	d := &Deal{
		live: live, place: make([]int, len(live)), owned: make([]int, len(live)),
		first: make(map[string][]int, len(hosts)), scores: make(map[string][]uint64, len(hosts)),
	}
	numbers := make(map[string]int)
	for i, c := range live {
		n, known := numbers[c.Place]
		if !known {
			n = len(numbers)
			numbers[c.Place] = n
		}
		d.place[i] = n
	}
	d.places = len(numbers)
	for _, host := range slices.Sorted(slices.Values(hosts)) {
		scores := make([]uint64, len(live))
		for i := range live {
			scores[i] = score(live[i].Name, host)
		}
		d.scores[host] = scores
		d.first[host] = d.deal(host, nil, Least, d.owned)
	}
	return d
}

// FirstOwners are the owners of a host that no count changes. The first one
// decides how many there are.
func (d *Deal) FirstOwners(host string) []Entry { return d.entries(d.first[host]) }

// Owners gives each host the entries that its callers are sent to, the first of
// which decides their number: counts has it for each host, Least where it is
// lower or missing.
func (d *Deal) Owners(counts map[string]int) map[string][]Entry {
	owned := slices.Clone(d.owned)
	owners := make(map[string][]Entry, len(d.first))
	for _, host := range slices.Sorted(maps.Keys(d.first)) {
		owners[host] = d.entries(d.deal(host, d.first[host], counts[host], owned))
	}
	return owners
}

// Fit is what each entry is fit for of a host, in the order in which they become
// its owners beside the first ones of the other hosts.
func (d *Deal) Fit(host string) iter.Seq[float64] {
	return func(yield func(float64) bool) {
		owned := slices.Clone(d.owned)
		first := d.first[host]
		for _, i := range first {
			owned[i]--
		}
		for _, i := range first {
			if !yield(d.spare(i, owned)) {
				return
			}
		}
		for i := range d.rest(host, first, owned) {
			if !yield(d.spare(i, owned)) {
				return
			}
		}
	}
}

// deal gives a host owners until it has so many, and counts them in owned.
func (d *Deal) deal(host string, has []int, count int, owned []int) []int {
	if len(has) >= count {
		return has
	}
	has = slices.Clone(has)
	for i := range d.rest(host, has, owned) {
		has = append(has, i)
		if len(has) == count {
			break
		}
	}
	return has
}

// rest gives the entries that become owners of a host after those that it has,
// in their order, and counts each in owned after it was given.
func (d *Deal) rest(host string, has, owned []int) iter.Seq[int] {
	return func(yield func(int) bool) {
		taken := make([]bool, len(d.live))
		places := make([]int, d.places)
		for _, i := range has {
			taken[i] = true
			places[d.place[i]]++
		}
		scores := d.scores[host]
		for range len(d.live) - len(has) {
			best := -1
			for i := range d.live {
				if !taken[i] && (best < 0 || d.compare(i, best, owned, places, scores) < 0) {
					best = i
				}
			}
			more := yield(best)
			taken[best] = true
			owned[best]++
			places[d.place[best]]++
			if !more {
				return
			}
		}
	}
}

// compare orders two entries for a host, the better one first. Owners in
// different failure domains prefer different targets, those near them.
func (d *Deal) compare(a, b int, owned, places []int, scores []uint64) int {
	x, y := &d.live[a], &d.live[b]
	if x.Strained != y.Strained {
		return cmp.Compare(truth(x.Strained), truth(y.Strained))
	}
	if s, t := d.spare(a, owned), d.spare(b, owned); s != t {
		return cmp.Compare(t, s)
	}
	if owned[a] != owned[b] {
		return cmp.Compare(owned[a], owned[b])
	}
	if p, q := places[d.place[a]], places[d.place[b]]; p != q {
		return cmp.Compare(p, q)
	}
	if scores[a] != scores[b] {
		return cmp.Compare(scores[b], scores[a])
	}
	return cmp.Compare(x.Name, y.Name)
}

// spare is what an entry is fit for of one host more.
func (d *Deal) spare(i int, owned []int) float64 {
	return d.live[i].Capacity / float64(owned[i]+1)
}

func (d *Deal) entries(list []int) (entries []Entry) {
	for _, i := range list {
		entries = append(entries, d.live[i].Entry)
	}
	return entries
}
