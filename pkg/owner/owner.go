// Package owner decides which entries the callers of a host are sent to, and
// which entries read the store for the others. All entries reach the same
// answer from the same list of live entries. It does no I/O.
package owner

import (
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
	// Capacity is how many requests a second it is fit for.
	Capacity float64
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

// Order gives the first so many entries in the order of Rank.
func Order(live []Candidate, duty string, most int) (first []Entry) {
	var scores []uint64
	for _, c := range live {
		s := score(c.Name, duty)
		at := len(first)
		for at > 0 && (s > scores[at-1] || s == scores[at-1] && c.Name < first[at-1].Name) {
			at--
		}
		if at == most {
			continue
		}
		if len(first) == most {
			first, scores = first[:most-1], scores[:most-1]
		}
		first, scores = slices.Insert(first, at, c.Entry), slices.Insert(scores, at, s)
	}
	return first
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
