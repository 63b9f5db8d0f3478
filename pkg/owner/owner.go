// Package owner decides which entries the callers of a host are sent to, and
// which entries read the store for the others. All entries reach the same
// answer from the same list of live entries. It does no I/O.
package owner

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Entry is one incarnation of an entry.
type Entry struct {
	Name   string
	Boot   uint64 // grows with each start
	Front  string // host:port for callers
	Peer   string // host:port for other entries, TCP and UDP
	Place  string // failure domain
	Region string
	// Capacity is how many requests a second it is fit for.
	Capacity float64
}

// ID names the incarnation where its name and boot time would take more room.
func (e Entry) ID() uint64 {
	return score(e.Name, strconv.FormatUint(e.Boot, 10))
}

// HostID names a host where its name would take more room.
func HostID(host string) uint32 {
	return uint32(score(host, "host"))
}

// Candidate is a live entry.
type Candidate struct {
	Entry
	Strained bool // it says that it can't keep up
}

// Least is how many owners a host has at the least. With one, all callers
// would wait for its death to be noticed; and at the rates of a burst one was
// too busy to refuse what it could not serve.
const Least = 2

// Owners gives each host the entries that its callers are sent to, the first of
// which decides their number: counts has it for each host, Least where it is
// lower or missing.
//
// An entry that sees all requests of a service knows how many each target
// holds, so there are no more owners than the load takes. Hosts are told apart
// by name only: routes come and go with each version of a configuration, and
// were the owners to follow them, callers would be sent back and forth, to
// entries that have learnt nothing. The first ones are dealt out over different
// entries before any host gets further ones, so that they depend on no count.
func Owners(live []Candidate, counts map[string]int) map[string][]Entry {
	hosts := make([]string, 0, len(counts))
	for h := range counts {
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	owned := make(map[string]int)
	owners := make(map[string][]Entry, len(hosts))
	for _, host := range hosts {
		deal(live, host, Least, owned, owners)
	}
	for _, host := range hosts {
		deal(live, host, counts[host], owned, owners)
	}
	return owners
}

// deal gives a host owners until it has so many.
func deal(live []Candidate, host string, count int, owned map[string]int, owners map[string][]Entry) {
	list := owners[host]
	if len(list) >= count {
		return
	}
	places := make(map[string]int)
	for _, e := range list {
		places[e.Place]++
	}
	var left []scored
	for _, c := range live {
		if !slices.ContainsFunc(list, func(e Entry) bool { return e.Name == c.Name }) {
			left = append(left, scored{c, score(c.Name, host)})
		}
	}
	for len(list) < count && len(left) > 0 {
		best := 0
		for i := range left {
			if compare(left[i], left[best], owned, places) < 0 {
				best = i
			}
		}
		e := left[best].Entry
		left = slices.Delete(left, best, best+1)
		owned[e.Name]++
		places[e.Place]++
		list = append(list, e)
	}
	owners[host] = list
}

// scored is a candidate with its score for one host.
type scored struct {
	Candidate
	score uint64
}

// compare orders candidates for a host, the better one first. Owners in
// different failure domains prefer different targets, those near them.
func compare(a, b scored, owned, places map[string]int) int {
	return cmp.Or(
		cmp.Compare(truth(a.Strained), truth(b.Strained)),
		cmp.Compare(spare(b, owned), spare(a, owned)),
		cmp.Compare(owned[a.Name], owned[b.Name]),
		cmp.Compare(places[a.Place], places[b.Place]),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.Name, b.Name),
	)
}

// spare is what an entry is fit for of one host more.
func spare(c scored, owned map[string]int) float64 {
	return c.Capacity / float64(owned[c.Name]+1)
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

func score(name, of string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(name)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(of)
	return h.Sum64()
}

// Rank gives an entry's place in the order in which live entries take on a
// duty that only a few need to do, from 0. It is len(live) for an entry that
// isn't among them.
func Rank(live []Candidate, duty, name string) int {
	own, rank, found := score(name, duty), 0, false
	for _, c := range live {
		if c.Name == name {
			found = true
			continue
		}
		if s := score(c.Name, duty); s > own || s == own && c.Name < name {
			rank++
		}
	}
	if !found {
		return len(live)
	}
	return rank
}
