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
// requests of a service knows how many each target has in flight.
//
// Of a host the assignment uses only the name. Routes change with each version of a
// configuration. An assignment that followed them would move callers back and forth, to
// entries that have no data on the targets yet.
//
// The first owners of all hosts are assigned, spread over different entries, before any
// host gets further owners. They are therefore independent of the owner counts.
type Assignment struct {
	live        []Candidate
	placeIndex  []int // index of each entry's place
	placeCount  int
	ownedHosts  []int            // for each entry, the number of hosts that it is a first owner of
	firstOwners map[string][]int // by host, as indexes into live
	scores      map[string][]uint64
}

// hostView is what the order of the entries for one host depends on.
type hostView struct {
	host   string
	scores []uint64 // of each entry
	places []int    // owners in each place
}

// New assigns the first owners of hosts.
func New(live []Candidate, hosts []string) *Assignment {
	a := &Assignment{
		live: live, placeIndex: make([]int, len(live)), ownedHosts: make([]int, len(live)),
		firstOwners: make(map[string][]int, len(hosts)), scores: make(map[string][]uint64, len(hosts)),
	}
	indexes := make(map[string]int)
	for i, c := range live {
		n, known := indexes[c.Place]
		if !known {
			n = len(indexes)
			indexes[c.Place] = n
		}
		a.placeIndex[i] = n
	}
	a.placeCount = len(indexes)
	for _, host := range slices.Sorted(slices.Values(hosts)) {
		scores := make([]uint64, len(live))
		for i := range live {
			scores[i] = score(live[i].Name, host)
		}
		a.scores[host] = scores
		a.firstOwners[host] = a.assign(host, nil, MinOwners, a.ownedHosts)
	}
	return a
}

// FirstOwners returns the owners of a host that are independent of its owner count. The
// first of them decides the count.
func (a *Assignment) FirstOwners(host string) []Entry { return a.entries(a.firstOwners[host]) }

// Owners returns the entries that each host's callers are sent to, the first owners
// first. counts holds the owner count of each host; MinOwners applies if it is lower or
// missing.
func (a *Assignment) Owners(counts map[string]int) map[string][]Entry {
	owned := slices.Clone(a.ownedHosts)
	owners := make(map[string][]Entry, len(a.firstOwners))
	for _, host := range slices.Sorted(maps.Keys(a.firstOwners)) {
		owners[host] = a.entries(a.assign(host, a.firstOwners[host], counts[host], owned))
	}
	return owners
}

// CapacityShares yields the capacity that each entry has for a host, in the order in
// which entries become its owners. An entry shares its capacity with the other hosts
// that it is a first owner of; their further owners are not counted.
func (a *Assignment) CapacityShares(host string) iter.Seq[float64] {
	return func(yield func(float64) bool) {
		owned := slices.Clone(a.ownedHosts)
		first := a.firstOwners[host]
		for _, i := range first {
			owned[i]--
		}
		for _, i := range first {
			if !yield(a.capacityShare(i, owned)) {
				return
			}
		}
		for i := range a.remaining(host, first, owned) {
			if !yield(a.capacityShare(i, owned)) {
				return
			}
		}
	}
}

// assign extends a host's owners to count entries and adds the new ones to owned.
func (a *Assignment) assign(host string, owners []int, count int, owned []int) []int {
	if len(owners) >= count {
		return owners
	}
	owners = slices.Clone(owners)
	for i := range a.remaining(host, owners, owned) {
		owners = append(owners, i)
		if len(owners) == count {
			break
		}
	}
	return owners
}

// remaining yields the entries that become owners of a host after its present owners,
// in order. It adds each to owned after yielding it.
func (a *Assignment) remaining(host string, owners, owned []int) iter.Seq[int] {
	return func(yield func(int) bool) {
		taken := make([]bool, len(a.live))
		v := hostView{host: host, scores: a.scores[host], places: make([]int, a.placeCount)}
		for _, i := range owners {
			taken[i] = true
			v.places[a.placeIndex[i]]++
		}
		for range len(a.live) - len(owners) {
			best := -1
			for i := range a.live {
				if !taken[i] && (best < 0 || a.compare(i, best, owned, v) < 0) {
					best = i
				}
			}
			next := yield(best)
			taken[best] = true
			owned[best]++
			v.places[a.placeIndex[best]]++
			if !next {
				return
			}
		}
	}
}

// compare orders two entries for a host, the better one first. With equal load and
// capacity it prefers failure domains with fewer owners of the host: owners prefer
// nearby targets, so owners in different failure domains prefer different targets.
func (a *Assignment) compare(i, j int, owned []int, v hostView) int {
	x, y := &a.live[i], &a.live[j]
	if x.Unserved[v.host] != y.Unserved[v.host] {
		return cmp.Compare(boolInt(x.Unserved[v.host]), boolInt(y.Unserved[v.host]))
	}
	if x.Overloaded != y.Overloaded {
		return cmp.Compare(boolInt(x.Overloaded), boolInt(y.Overloaded))
	}
	if s, t := a.capacityShare(i, owned), a.capacityShare(j, owned); s != t {
		return cmp.Compare(t, s)
	}
	if owned[i] != owned[j] {
		return cmp.Compare(owned[i], owned[j])
	}
	if p, q := v.places[a.placeIndex[i]], v.places[a.placeIndex[j]]; p != q {
		return cmp.Compare(p, q)
	}
	if v.scores[i] != v.scores[j] {
		return cmp.Compare(v.scores[j], v.scores[i])
	}
	return cmp.Compare(x.Name, y.Name)
}

// capacityShare returns the capacity that an entry would have for one more host.
func (a *Assignment) capacityShare(i int, owned []int) float64 {
	return a.live[i].Capacity / float64(owned[i]+1)
}

func (a *Assignment) entries(list []int) (entries []Entry) {
	for _, i := range list {
		entries = append(entries, a.live[i].Entry)
	}
	return entries
}
