package ring

import (
	"slices"
	"time"
)

// Config bounds how the ring changes.
type Config struct {
	Join      time.Duration // an entry is added after it was seen for this long
	Remove    time.Duration // an entry is removed after it was unseen for this long
	Forget    time.Duration // the records of a removed entry are given up after this long
	Pause     time.Duration // least time between two changes, so that they are batched
	Retention time.Duration // how long replicas remember a key
	Skew      time.Duration // most that two clocks differ
}

// Default gives the bounds for the sizes of today.
func Default() Config {
	return Config{
		Join:      2 * time.Second,
		Remove:    10 * time.Second,
		Forget:    30 * time.Second,
		Pause:     3 * time.Second,
		Retention: 24 * time.Hour,
		Skew:      time.Minute,
	}
}

// Seen is what one entry knows of an incarnation.
type Seen struct {
	Member
	First   time.Time // first heartbeat
	Last    time.Time // newest heartbeat
	Leaving bool      // it has announced its stop
	Ring    uint64    // revision that it has in force
}

// View is what one entry knows of the others when it weighs a change.
type View struct {
	Seen   []Seen
	Gone   []Ident   // incarnations that are surely dead, such as those whose VM is no longer listed
	Synced []Ident   // those that copied their records under the ring in force
	Since  time.Time // when this entry took the ring in force
}

// Next gives the ring that should follow cur, or false when it is to stay. The
// proposal is to be written by a conditional update on cur; whoever loses the
// race reads again.
//
// A ring changes in two steps. The joint ring names the old and the new list,
// and a claim needs a majority in both. The old list goes when its members have
// copied their records: all but so few that any majority of an old replica set
// is still met.
func (c Config) Next(now time.Time, cur Ring, v View) (next Ring, ok bool) {
	if v.behind(cur) {
		return Ring{}, false
	}
	losses, marked := c.losses(now, cur, v)
	next = Ring{Revision: cur.Revision + 1, Members: cur.Members, Old: cur.Old, Losses: losses}
	switch {
	case cur.Revision == 0:
		next.Members = c.wanted(now, cur, v)
		return next, len(next.Members) > 0
	case cur.Joint():
		return c.finish(now, cur, next, v)
	}
	members := c.wanted(now, cur, v)
	if now.Sub(v.Since) >= c.Pause && c.differ(now, cur, members, v) {
		next.Members = members
		next.Old = cur.Members
		return next, true
	}
	return next, marked
}

// finish drops the old list, or takes dead members out of the new one, which
// would keep the copies from being made.
func (c Config) finish(now time.Time, cur, next Ring, v View) (Ring, bool) {
	missing, done := c.missing(now, cur, v)
	if done {
		next.Old = nil
		next.Losses = c.lose(now, cur, next.Losses, missing, v)
		return next, true
	}
	members := c.wanted(now, cur, v)
	if now.Sub(v.Since) >= c.Pause && lacksAny(members, cur.Members) && c.differ(now, cur, members, v) {
		next.Members = members
		next.Losses = cur.Losses
		return next, true
	}
	return Ring{}, false
}

// missing gives the old members that have not copied, and whether the wait for
// them is over.
func (c Config) missing(now time.Time, cur Ring, v View) (out []Ident, done bool) {
	alive, waits := 0, false
	for _, m := range cur.Old {
		if contains(v.Synced, m.Ident) {
			if c.fresh(now, v, m.Ident) && !v.gone(m.Ident) {
				alive++
			}
			continue
		}
		out = append(out, m.Ident)
		gone := v.gone(m.Ident)
		if !gone && v.unseen(now, m.Ident) < c.Forget {
			return out, false
		}
		waits = waits || !gone
	}
	if waits && alive < Majority(len(cur.Old)-v.countGone(cur.Old)) {
		return out, false
	}
	return out, true
}

// lose marks the records that went with the missing. These may be only cut off,
// but from Remove after now on they accept no claim under the old list
// (InContact), so the loss has an end whether they come back or not.
func (c Config) lose(now time.Time, cur Ring, losses []Loss, missing []Ident, v View) []Loss {
	l := Loss{At: now, Sealed: now.Add(c.Remove), Members: cur.Old, Missing: missing}
	if len(missing) == 0 || l.empty() {
		return losses
	}
	if v.allGone(missing) {
		l.Sealed = now
	}
	return bounded(append(losses, l))
}

// wanted gives the members that the view asks for, in order of their names.
func (c Config) wanted(now time.Time, cur Ring, v View) (out []Member) {
	for _, m := range cur.Members {
		if !v.leaving(m.Ident) && !v.gone(m.Ident) && v.unseen(now, m.Ident) < c.Remove {
			out = append(out, m)
		}
	}
	for _, s := range v.Seen {
		fresh := now.Sub(s.First) >= c.Join && now.Sub(s.Last) < c.Remove
		if fresh && !s.Leaving && !v.gone(s.Ident) && !named(out, s.Name) {
			out = append(out, s.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// differ tells whether a change is due and safe to ask for. An entry that is
// cut off sees all others as dead; it must not take them out of the ring. So
// removing entries that aren't surely dead takes the sight of a majority.
func (c Config) differ(now time.Time, cur Ring, members []Member, v View) bool {
	if len(members) == 0 {
		return false
	}
	alive, cut := 0, false
	for _, m := range cur.Members {
		if v.gone(m.Ident) {
			continue
		}
		if c.fresh(now, v, m.Ident) {
			alive++
		}
		cut = cut || v.unseen(now, m.Ident) >= c.Remove
	}
	if cut && alive < Majority(len(cur.Members)-v.countGone(cur.Members)) {
		return false
	}
	return lacksAny(members, cur.Members) || lacksAny(cur.Members, members)
}

// fresh tells that an incarnation was heard of lately. When an entry is cut off,
// the others pass Remove one after the other, and those that have not passed it
// yet must not count as a majority that it sees.
func (c Config) fresh(now time.Time, v View, id Ident) bool {
	return v.unseen(now, id) < c.Remove/2
}

// behind tells that some entry has a newer ring than this one.
func (v View) behind(cur Ring) bool {
	for _, s := range v.Seen {
		if s.Ring > cur.Revision {
			return true
		}
	}
	return false
}

func (v View) find(id Ident) (s Seen, ok bool) {
	for _, s := range v.Seen {
		if s.Ident == id {
			return s, true
		}
	}
	return Seen{}, false
}

// unseen tells for how long an incarnation was not heard of. One that was never
// seen counts from the time at which the ring came into force here.
func (v View) unseen(now time.Time, id Ident) time.Duration {
	s, ok := v.find(id)
	if !ok {
		return now.Sub(v.Since)
	}
	return now.Sub(s.Last)
}

func (v View) leaving(id Ident) bool {
	s, ok := v.find(id)
	return ok && s.Leaving
}

// gone tells that an incarnation is surely dead: it was reported so, or a later
// incarnation has taken its name.
func (v View) gone(id Ident) bool {
	for _, s := range v.Seen {
		if s.Name == id.Name && s.Boot > id.Boot {
			return true
		}
	}
	return contains(v.Gone, id)
}

func (v View) allGone(ids []Ident) bool {
	for _, id := range ids {
		if !v.gone(id) {
			return false
		}
	}
	return true
}

func (v View) countGone(members []Member) (n int) {
	for _, m := range members {
		if v.gone(m.Ident) {
			n++
		}
	}
	return n
}

func named(members []Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// lacksAny tells whether one of want is not among members.
func lacksAny(members, want []Member) bool {
	for _, m := range want {
		if !has(members, m.Ident) {
			return true
		}
	}
	return false
}
