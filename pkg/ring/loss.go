package ring

import (
	"slices"
	"time"

	"github.com/google/uuid"
)

// maxLosses bounds the document. Beyond it the two oldest are merged into one
// that covers every key.
const maxLosses = 8

// Loss marks that the records of some keys are gone: too many members of their
// replica sets vanished before they could copy them.
type Loss struct {
	At      time.Time // when the members were given up
	Sealed  time.Time // from when on no missing accepts a claim under the old list; zero when that is not known
	Members []Member  // the ring that they were members of; empty covers every key
	Missing []Ident   // who did not copy
}

// Covers tells whether the loss reaches a key: the members that did copy
// don't meet every majority of its replica set.
func (l Loss) Covers(service, key string) bool {
	if len(l.Members) == 0 {
		return true
	}
	return l.lacks(Replicas(l.Members, service, key))
}

// lacks tells that a majority of a replica set is missing: a run whose claim
// only they accepted is unknown to the rest.
func (l Loss) lacks(set []Member) bool {
	missing := 0
	for _, m := range set {
		if contains(l.Missing, m.Ident) {
			missing++
		}
	}
	return missing >= Majority(len(set))
}

// empty tells that too few are missing to lack a majority of any replica set.
func (l Loss) empty() bool {
	size := min(len(l.Members), Copies)
	return len(l.Members) > 0 && len(l.Missing) < Majority(size)
}

// Birth gives the time at which a key was made, when the key is a UUID of
// version 7 in its canonical form.
func Birth(key string) (at time.Time, ok bool) {
	const canonical = 36
	if len(key) != canonical {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms).UTC(), true
}

// Knowable tells whether the replicas of a key can know all that ever ran under
// it. Where they can't, a claim would find nothing and the key would run again,
// so its requests are answered as unknown without a run.
//
// Two members of a replica set that died took the only proof of a run along.
// The key is refused until its retention has passed since they were surely
// out: dead, or past the bound of InContact. A key that was made after that
// can't have run before. A claim that they accepted just before it may be
// dispatched up to its deadline later, but its key was made before, and stays
// refused. Nothing ends before Sealed.
func (c Config) Knowable(now time.Time, r Ring, service, key string) bool {
	for _, l := range r.Losses {
		if !c.over(now, l) && !c.bornAfter(l, key) && l.Covers(service, key) {
			return false
		}
	}
	return true
}

// Premature tells that a key claims to be made later than clocks can differ.
// Were it accepted, it could run before a loss and count as made after it.
func (c Config) Premature(now time.Time, key string) bool {
	at, ok := Birth(key)
	return ok && at.After(now.Add(c.Skew))
}

func (c Config) over(now time.Time, l Loss) bool {
	return !l.Sealed.IsZero() && now.After(l.Sealed.Add(c.Retention+c.Skew))
}

// bornAfter allows for the skew twice: between the caller and the entry that
// accepted the key, and between that entry and the one that wrote Sealed.
func (c Config) bornAfter(l Loss, key string) bool {
	at, ok := Birth(key)
	return ok && !l.Sealed.IsZero() && at.After(l.Sealed.Add(2*c.Skew))
}

// losses brings the marks up to date: those that are over go, members that came
// back and copied are no longer missing, and a mark is sealed once all of its
// missing are dead.
func (c Config) losses(now time.Time, cur Ring, v View) (out []Loss, changed bool) {
	for _, l := range cur.Losses {
		if c.over(now, l) {
			changed = true
			continue
		}
		back := func(id Ident) bool { return contains(v.Synced, id) }
		missing := slices.DeleteFunc(slices.Clone(l.Missing), back)
		changed = changed || len(missing) != len(l.Missing)
		l.Missing = missing
		if l.empty() || len(l.Missing) == 0 {
			continue
		}
		if l.Sealed.IsZero() && v.allGone(l.Missing) {
			l.Sealed = now
			changed = true
		}
		out = append(out, l)
	}
	return out, changed
}

func bounded(losses []Loss) []Loss {
	for len(losses) > maxLosses {
		a, b := losses[0], losses[1]
		one := Loss{At: later(a.At, b.At), Missing: union(a.Missing, b.Missing)}
		if !a.Sealed.IsZero() && !b.Sealed.IsZero() {
			one.Sealed = later(a.Sealed, b.Sealed)
		}
		losses = append([]Loss{one}, losses[2:]...)
	}
	return losses
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func union(a, b []Ident) []Ident {
	out := slices.Clone(a)
	for _, id := range b {
		if !contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}
