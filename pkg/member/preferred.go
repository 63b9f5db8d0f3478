package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// splitmixMultiplier is the first multiplier of the splitmix64 finalizer.
const splitmixMultiplier = 0xbf58476d1ce4e5b9

// PreferredEntries returns k entries for a service by rendezvous hashing, the most
// preferred first. They are in distinct places if there are enough places.
func PreferredEntries(entries []Entry, service string, k int) []Entry {
	ranked := rankByHash(entries, xxhash.Sum64String(service))
	k = min(k, len(ranked))
	preferred := make([]Entry, 0, k)
	rest := make([]Entry, 0, len(ranked))
	for _, e := range ranked {
		if len(preferred) < k && !containsPlace(preferred, e.Place) {
			preferred = append(preferred, e)
			continue
		}
		rest = append(rest, e)
	}
	return append(preferred, rest[:k-len(preferred)]...)
}

// rankByHash ranks by name without the boot number, so that an entry that restarts
// keeps its services. An entry that leaves moves only its own services.
func rankByHash(entries []Entry, seed uint64) []Entry {
	score := func(e Entry) uint64 { return mix(xxhash.Sum64String(e.ID.Name) ^ seed) }
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	return ranked
}

func containsPlace(preferred []Entry, place string) bool {
	return slices.ContainsFunc(preferred, func(e Entry) bool { return e.Place == place })
}

// mix spreads the bits of a combination of two hashes (the splitmix64 finalizer).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= splitmixMultiplier
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
