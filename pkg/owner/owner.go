// Package owner decides which entries the callers of a host are sent to, and
// which entries read the store for the others. The decisions depend only on the list
// of live entries, so that all entries make the same ones. The package does no I/O.
package owner

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxCapacity is the largest valid capacity of an entry, in requests per second.
const MaxCapacity = 1e9

// Entry is one incarnation of an entry.
type Entry struct {
	Name          string
	Boot          uint64 // increases with each start
	CallerAddress string // host:port for callers
	PeerAddress   string // host:port for other entries, TCP and UDP
	Place         string // failure domain
	Region        string
	// Capacity is in requests per second, up to MaxCapacity.
	Capacity float64
}

// HostID returns a short identifier of a host, for messages.
func HostID(host string) uint32 {
	return uint32(score(host, "host"))
}

// Candidate is a live entry.
type Candidate struct {
	Entry
	Overloaded bool // reports that it can't keep up with its load
	// Unserved has the hosts that it can't serve, because it is cut off from one of their services.
	Unserved map[string]bool
}

// MinOwners is the least number of owners of a host. With a single owner, all callers
// would wait until its death is detected; in a burst, a single owner was too busy even
// to refuse the requests that it could not serve.
const MinOwners = 2

// TopRanked returns the first entries, up to most, in the order of Rank.
func TopRanked(live []Candidate, task string, most int) (first []Entry) {
	var scores []uint64
	for _, c := range live {
		s := score(c.Name, task)
		i := len(first)
		for i > 0 && (s > scores[i-1] || s == scores[i-1] && c.Name < first[i-1].Name) {
			i--
		}
		if i == most {
			continue
		}
		if len(first) == most {
			first, scores = first[:most-1], scores[:most-1]
		}
		first, scores = slices.Insert(first, i, c.Entry), slices.Insert(scores, i, s)
	}
	return first
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// score returns the rendezvous hash of an entry for a host or a task.
func score(name, key string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(name)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return h.Sum64()
}

// Rank returns an entry's rank, from 0, among the live entries for a task that only the
// few entries with the lowest ranks have, such as reading one resource from the store.
// The rank of an entry that isn't live is len(live).
func Rank(live []Candidate, task, name string) int {
	own, rank, found := score(name, task), 0, false
	for _, c := range live {
		if c.Name == name {
			found = true
			continue
		}
		if s := score(c.Name, task); s > own || s == own && c.Name < name {
			rank++
		}
	}
	if !found {
		return len(live)
	}
	return rank
}

// RankAmong is like Rank, among names.
func RankAmong(names []string, task, name string) (rank int) {
	own := score(name, task)
	for _, n := range names {
		if s := score(n, task); s > own || s == own && n < name {
			rank++
		}
	}
	return rank
}

// Slot returns one of n slots, from 0, that an entry has for a task whatever the others are.
func Slot(task, name string, n int) int { return int(score(name, task) % uint64(max(n, 1))) }
