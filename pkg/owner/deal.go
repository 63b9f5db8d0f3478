package owner

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Assignment assigns hosts to owners among one list of live entries. Results that
// depend only on the list are computed once.
//
// A host has no more owners than its load needs, since an entry that receives all
// requests of a service knows how many each target has in flight. The assignment
// depends on host names only. If it depended on routes, which change with each version
// of a configuration, callers would be moved to entries that have no data on the
// targets yet. The first owners of all hosts are assigned, spread over different
// entries, before any host gets further owners. They are therefore independent of the
// owner counts.
type Deal struct {
	live   []Candidate
	place  []int // index of each entry's place
	places int
	owned  []int            // for each entry, the hosts that it is a first owner of
	first  map[string][]int // by host, as indexes into live
	scores map[string][]uint64
}

// New assigns the first owners of hosts.
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

// FirstOwners returns the owners of a host that are independent of its owner count. The
// first of them decides the count.
func (d *Deal) FirstOwners(host string) []Entry { return d.entries(d.first[host]) }

// Owners returns the entries that each host's callers are sent to. counts holds the
// owner count of each host; MinOwners applies if it is lower or missing.
func (d *Deal) Owners(counts map[string]int) map[string][]Entry {
	owned := slices.Clone(d.owned)
	owners := make(map[string][]Entry, len(d.first))
	for _, host := range slices.Sorted(maps.Keys(d.first)) {
		owners[host] = d.entries(d.deal(host, d.first[host], counts[host], owned))
	}
	return owners
}

// CapacityShares yields the capacity that each entry has for a host, in the order in
// which entries become its owners. Of the other hosts only the first owners count.
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

// assign extends a host's owners to count entries and adds the new ones to owned.
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

// remaining yields the entries that become owners of a host after those that it has,
// in order. It adds each to owned after yielding it.
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
			next := yield(best)
			taken[best] = true
			owned[best]++
			places[d.place[best]]++
			if !next {
				return
			}
		}
	}
}

// compare orders two entries for a host, the better one first. It prefers failure
// domains with fewer owners of the host: owners prefer nearby targets, so owners in
// different failure domains prefer different targets.
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

// capacityShare returns the capacity that an entry would have for one more host.
func (d *Deal) spare(i int, owned []int) float64 {
	return d.live[i].Capacity / float64(owned[i]+1)
}

func (d *Deal) entries(list []int) (entries []Entry) {
	for _, i := range list {
		entries = append(entries, d.live[i].Entry)
	}
	return entries
}
