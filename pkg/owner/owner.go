// Package owner decides which entries the callers of a service are sent to, and
// which entries read the store for the others. All entries reach the same
// answer from the same list of live entries. It does no I/O.
package owner

import (
	"cmp"
	"slices"

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
}

// Same reports whether two records name the same incarnation.
func Same(a, b Entry) bool { return a == b }

// Need is what the owners of one service are chosen by.
type Need struct {
	Service string
	Places  map[string]int // targets in each failure domain
}

// Candidate is a live entry.
type Candidate struct {
	Entry
	Strained bool // it says that it can't keep up
}

// Owners gives each service the entries that its callers are sent to, count of
// them as far as there are entries.
//
// An entry that sees all requests of a service knows how many each target
// holds. The services are dealt out over different entries, so that none
// carries two while another has none. Where it makes no other difference, the
// failure domain with the most targets is taken: requests then cross to others
// least.
func Owners(live []Candidate, needs []Need, count int) map[string][]Entry {
	needs = slices.Clone(needs)
	slices.SortFunc(needs, func(a, b Need) int { return cmp.Compare(a.Service, b.Service) })
	load := make(map[string]int)
	owners := make(map[string][]Entry, len(needs))
	for range count {
		for _, n := range needs {
			if e, ok := best(live, n, load, owners[n.Service]); ok {
				load[e.Name]++
				owners[n.Service] = append(owners[n.Service], e)
			}
		}
	}
	return owners
}

func best(live []Candidate, n Need, load map[string]int, taken []Entry) (e Entry, ok bool) {
	var chosen Candidate
	for _, c := range live {
		if slices.ContainsFunc(taken, func(t Entry) bool { return t.Name == c.Name }) {
			continue
		}
		if !ok || before(c, chosen, n, load) {
			chosen, ok = c, true
		}
	}
	return chosen.Entry, ok
}

// before orders candidates for a service, the better one first.
func before(a, b Candidate, n Need, load map[string]int) bool {
	return cmp.Or(
		cmp.Compare(truth(a.Strained), truth(b.Strained)),
		cmp.Compare(load[a.Name], load[b.Name]),
		cmp.Compare(n.Places[b.Place], n.Places[a.Place]),
		cmp.Compare(score(b.Name, n.Service), score(a.Name, n.Service)),
		cmp.Compare(a.Name, b.Name),
	) < 0
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
