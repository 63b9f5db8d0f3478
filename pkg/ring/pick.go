package ring

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Copies is the number of replicas of a key, as far as there are entries.
const Copies = 3

// mixer spreads the product of two hashes (the multiplier of splitmix64).
const mixer = 0xbf58476d1ce4e5b9

type scored struct {
	at    int
	score uint64
}

// Replicas gives the first three entries of a key's rendezvous order, in
// distinct places where there are as many.
func Replicas(members []Member, service, key string) []Member {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(key)
	return pick(members, h.Sum64(), Copies)
}

// Homes gives the first k of the rendezvous order of a service over live
// entries, in distinct places where there are as many. The first is preferred.
func Homes(live []Member, service string, k int) []Member {
	return pick(live, xxhash.Sum64String(service), k)
}

// Rank gives the position of an incarnation in the rendezvous order that a
// number seeds, or len(members) when it is none of them.
func Rank(members []Member, seed uint64, id Ident) int {
	for i, s := range order(members, seed*mixer) {
		if members[s.at].Ident == id {
			return i
		}
	}
	return len(members)
}

// order ranks by name without the boot number: an entry that restarts keeps
// its keys, and one that leaves moves only its own.
func order(members []Member, seed uint64) []scored {
	out := make([]scored, len(members))
	for i, m := range members {
		out[i] = scored{at: i, score: mix(xxhash.Sum64String(m.Name) ^ seed)}
	}
	slices.SortFunc(out, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(members[a.at].Name, members[b.at].Name)
	})
	return out
}

func pick(members []Member, seed uint64, k int) []Member {
	ranked := order(members, seed)
	if k > len(ranked) {
		k = len(ranked)
	}
	out := make([]Member, 0, k)
	rest := make([]int, 0, len(ranked))
	for _, s := range ranked {
		m := members[s.at]
		if len(out) < k && !placed(out, m.Place) {
			out = append(out, m)
			continue
		}
		rest = append(rest, s.at)
	}
	for _, at := range rest {
		if len(out) == k {
			break
		}
		out = append(out, members[at])
	}
	return out
}

func placed(members []Member, place string) bool {
	for _, m := range members {
		if m.Place == place {
			return true
		}
	}
	return false
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= mixer
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
