package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mixer spreads the product of two hashes (the multiplier of splitmix64).
const mixer = 0xbf58476d1ce4e5b9

// Homes gives the first k of the rendezvous order of a service over entries, in
// distinct places where there are as many. The first is preferred.
func Homes(entries []Entry, service string, k int) []Entry {
	ranked := order(entries, xxhash.Sum64String(service))
	k = min(k, len(ranked))
	homes := make([]Entry, 0, k)
	rest := make([]Entry, 0, len(ranked))
	for _, e := range ranked {
		if len(homes) < k && !placed(homes, e.Place) {
			homes = append(homes, e)
			continue
		}
		rest = append(rest, e)
	}
	return append(homes, rest[:k-len(homes)]...)
}

// order ranks by name without the boot number: an entry that restarts keeps
// its services, and one that leaves moves only its own.
func order(entries []Entry, seed uint64) []Entry {
	score := func(e Entry) uint64 { return mix(xxhash.Sum64String(e.ID.Name) ^ seed) }
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return ranked
}

func placed(homes []Entry, place string) bool {
	return slices.ContainsFunc(homes, func(e Entry) bool { return e.Place == place })
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= mixer
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
