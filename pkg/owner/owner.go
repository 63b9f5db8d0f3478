// Package owner decides which entries the callers of a service are sent to, and
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

// Need is what the owners of one service are chosen by.
type Need struct {
	Service string
	Load    float64        // requests a second
	Places  map[string]int // targets in each failure domain
}

// Candidate is a live entry.
type Candidate struct {
	Entry
	Strained bool // it says that it can't keep up
}

// Least is how many owners a service has at the least. With one, all callers
// would wait for its death to be noticed; and at the rates of a burst one was
// too busy to refuse what it could not serve.
const Least = 2

// Owners gives each service the entries that its callers are sent to: at least
// Least, and as many as its load takes.
//
// An entry that sees all requests of a service knows how many each target
// holds, so there are no more owners than that. The services are dealt out over
// different entries, so that none carries two while another has none. Of equal
// ones, the failure domain with the most targets is taken: requests then cross
// to others least.
func Owners(live []Candidate, needs []Need) map[string][]Entry {
	needs = slices.Clone(needs)
	slices.SortFunc(needs, func(a, b Need) int { return cmp.Compare(a.Service, b.Service) })
	owned := make(map[string]int)
	owners := make(map[string][]Entry, len(needs))
	for _, n := range needs {
		order := ranked(live, n.Service)
		slices.SortFunc(order, func(a, b scored) int { return compare(a, b, n, owned) })
		capacity := 0.0
		for _, c := range order {
			if len(owners[n.Service]) >= Least && capacity >= n.Load {
				break
			}
			capacity += c.Capacity
			owned[c.Name]++
			owners[n.Service] = append(owners[n.Service], c.Entry)
		}
	}
	return owners
}

// scored is a candidate with its score for one service.
type scored struct {
	Candidate
	score uint64
}

func ranked(live []Candidate, service string) []scored {
	list := make([]scored, len(live))
	for i, c := range live {
		list[i] = scored{c, score(c.Name, service)}
	}
	return list
}

// compare orders candidates for a service, the better one first.
func compare(a, b scored, n Need, owned map[string]int) int {
	return cmp.Or(
		cmp.Compare(truth(a.Strained), truth(b.Strained)),
		cmp.Compare(owned[a.Name], owned[b.Name]),
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(n.Places[b.Place], n.Places[a.Place]),
		cmp.Compare(b.score, a.score),
		cmp.Compare(a.Name, b.Name),
	)
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
