package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func same(a, b string) bool { return a == b }

func set(name string, rev Revision, v string) Change[string] {
	return Change[string]{Item: Item[string]{name, rev, v}}
}

func del(name string, rev Revision) Change[string] {
	return Change[string]{Item: Item[string]{Name: name, Revision: rev}, Deleted: true}
}

// Word of a target comes from the store and from two other entries, late, twice
// and in the wrong order. Whatever the order, what is known at the end must be
// what the newest word says: a target that was removed must not come back.
func TestAnyOrder(t *testing.T) {
	history := []Change[string]{
		set("a", 1, "ready"), set("b", 2, "ready"), set("a", 3, "draining"),
		del("a", 4), set("b", 5, "moved"), set("c", 6, "ready"),
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		r := New(same)
		word := append(append([]Change[string]{}, history...), history[:3]...)
		rnd.Shuffle(len(word), func(i, j int) { word[i], word[j] = word[j], word[i] })
		for _, c := range word {
			r.Apply([]Change[string]{c}, c.Revision)
		}
		qt.Assert(t, r.Items(), qt.DeepEquals, map[string]Item[string]{
			"b": {"b", 5, "moved"}, "c": {"c", 6, "ready"},
		})
	}
}

func TestReplace(t *testing.T) {
	tests := []struct {
		name  string
		list  []Item[string]
		at    Revision
		want  []string
		moved bool
	}{
		{"newer list without one of them", []Item[string]{{"b", 2, "y"}}, 9, []string{"b"}, true},
		{"newer list of the same", []Item[string]{{"a", 1, "x"}, {"b", 2, "y"}}, 9, []string{"a", "b"}, false},
		{"stale list names nobody gone", nil, 1, []string{"a", "b"}, false},
		{"stale list revives nobody", []Item[string]{{"gone", 3, "z"}}, 3, []string{"a", "b"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(same)
			r.Apply([]Change[string]{set("a", 1, "x"), set("b", 2, "y"), set("gone", 3, "z"), del("gone", 4)}, 4)
			qt.Assert(t, r.Replace(tt.list, tt.at), qt.Equals, tt.moved)
			var got []string
			for _, n := range []string{"a", "b", "gone"} {
				if _, ok := r.Get(n); ok {
					got = append(got, n)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// A heartbeat writes a new revision and changes nothing that matters. It must
// not be told to the other entries.
func TestHeartbeatMovesNothing(t *testing.T) {
	r := New(func(a, b string) bool { return a[0] == b[0] })
	r.Apply([]Change[string]{set("a", 1, "r1")}, 1)
	qt.Assert(t, r.Apply([]Change[string]{set("a", 2, "r2")}, 2), qt.IsFalse)
	qt.Assert(t, r.Moved(), qt.Equals, Revision(1))
	qt.Assert(t, r.At(), qt.Equals, Revision(2))
}

// An entry that lacks changes is told just these. Whatever its state was, it
// then knows what the teller knows; heartbeats are not among them, and what
// reaches back before forgotten deletions is told as a whole list.
func TestSince(t *testing.T) {
	same := func(a, b string) bool { return a[0] == b[0] }
	rnd := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		teller, hearer := New(same), New(same)
		for rev := Revision(1); rev < 60; rev++ {
			c := set(string(rune('a'+rnd.IntN(8))), rev, string(rune('x'+rnd.IntN(2)))+"beat")
			c.Deleted = rnd.IntN(4) == 0
			teller.Apply([]Change[string]{c}, rev)
			if rnd.IntN(10) > 0 {
				continue
			}
			changes, ok := teller.Since(hearer.Moved())
			qt.Assert(t, ok, qt.Equals, hearer.Moved() > 0)
			if !ok {
				hearer.Replace(slices.Collect(maps.Values(teller.Items())), teller.At())
				continue
			}
			hearer.Apply(changes, teller.At())
			qt.Assert(t, values(hearer), qt.DeepEquals, values(teller))
		}
	}
}

func values(r *Roster[string]) map[string]byte {
	out := make(map[string]byte)
	for name, it := range r.Items() {
		out[name] = it.Value[0]
	}
	return out
}

func TestSinceLeavesHeartbeatsOut(t *testing.T) {
	r := New(func(a, b string) bool { return a[0] == b[0] })
	r.Apply([]Change[string]{set("a", 1, "r1"), set("b", 2, "r1"), set("a", 3, "r2")}, 3)
	changes, ok := r.Since(1)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, changes, qt.DeepEquals, []Change[string]{set("b", 2, "r1")})
}

// Targets come and go for as long as an entry runs. Its memory of those that
// went stays bounded, and it doesn't pretend to know what it has forgotten.
func TestForget(t *testing.T) {
	r := New(same)
	for rev := Revision(1); rev <= 10*keptGone; rev += 2 {
		name := fmt.Sprint(rev)
		r.Apply([]Change[string]{set(name, rev, "x"), del(name, rev+1)}, rev+1)
		r.Forget()
	}
	qt.Assert(t, len(r.gone) <= keptGone, qt.IsTrue)
	_, ok := r.Since(1)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = r.Since(r.At() - 10)
	qt.Assert(t, ok, qt.IsTrue)
}

// The store is away and records lapse meanwhile. On its return they are awaited
// for as long as their owners may take to write them again, and are gone after
// that. A record that vanishes at any other time is gone at once.
func TestLapses(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name    string
		age     time.Duration // of what was known, when the store answered
		removed time.Duration // after that
		asked   time.Duration // after that
		want    int
	}{
		{"no outage", time.Second, 0, 0, 0},
		{"outage", 4 * time.Second, 0, time.Second, 1},
		{"vanishes soon after the return", 4 * time.Second, time.Second, time.Second, 1},
		{"still missing after its time", 4 * time.Second, 0, ReturnTime, 0},
		{"vanishes later", 4 * time.Second, ReturnTime, ReturnTime, 0},
	}
	for _, tt := range tests {
		l := NewLapses[string]()
		l.Heard(start, tt.age)
		l.Removed(start.Add(tt.removed), Item[string]{Name: "a"})
		qt.Assert(t, l.Kept(start.Add(tt.asked)), qt.HasLen, tt.want, qt.Commentf("%s", tt.name))
	}
}

// A target is removed, and an entry that starts after that lists what is left.
// Another one, which still has the target, asks it for the changes since its own
// revision. The one that has just listed has never heard of the removal: told
// that nothing else has changed, the other would send to the target for seconds.
// It is the same after a gap in what an entry has followed.
func TestChangesAcrossAList(t *testing.T) {
	tests := []struct {
		name  string
		knows []Item[string] // before the list
		at    Revision
	}{
		{"first list", nil, 0},
		{"list after a gap", []Item[string]{{"a", 1, "ready"}}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			lister, other := New(same), New(same)
			if tt.at > 0 {
				lister.Replace(tt.knows, tt.at)
			}
			other.Apply([]Change[string]{set("a", 1, "ready"), set("gone", 3, "ready")}, 4)
			// gone is removed at 5, b comes at 6.
			list := []Item[string]{{"a", 1, "ready"}, {"b", 6, "ready"}}
			lister.Replace(list, 7)
			changes, ok := lister.Since(other.Moved())
			if ok {
				other.Apply(changes, lister.At())
			} else {
				other.Replace(slices.Collect(maps.Values(lister.Items())), lister.At())
			}
			_, known := other.Get("gone")
			c.Assert(known, qt.IsFalse)
			_, known = other.Get("b")
			c.Assert(known, qt.IsTrue)
			lister.Apply([]Change[string]{set("c", 8, "ready")}, 8)
			_, ok = lister.Since(7)
			c.Assert(ok, qt.IsTrue)
		})
	}
}

// A target comes and is removed within a second. One entry has heard of its coming
// only; another one has missed both and lists what is left after that. When the
// first tells it what it knows, as changes or as a list, the target must not come
// back: it would stay until the next list, since its removal is in the past.
func TestRemovedInAGapStaysRemoved(t *testing.T) {
	tests := []struct {
		name  string
		knows []Item[string] // the second entry, before its list
	}{
		{"first list", nil},
		{"list after a gap", []Item[string]{{"a", 1, "ready"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := New(same)
			first.Apply([]Change[string]{set("a", 1, "ready"), set("brief", 3, "ready")}, 4)
			// brief is removed at 5, and b comes at 6.
			for _, whole := range []bool{false, true} {
				second := New(same)
				if tt.knows != nil {
					second.Replace(tt.knows, 2)
				}
				second.Replace([]Item[string]{{"a", 1, "ready"}, {"b", 6, "ready"}}, 7)
				if changes, ok := first.Since(1); ok && !whole {
					second.Told(changes, first.At())
				} else {
					second.Replace(slices.Collect(maps.Values(first.Items())), first.At())
				}
				_, back := second.Get("brief")
				qt.Check(t, back, qt.IsFalse, qt.Commentf("whole list: %v", whole))
				_, known := second.Get("b")
				qt.Check(t, known, qt.IsTrue)
			}
		})
	}
}

// Another entry's word counts where it is newer than what is known: a target that
// comes, one that changes, and one that is removed.
func TestTold(t *testing.T) {
	r := New(same)
	r.Apply([]Change[string]{set("a", 1, "ready"), set("b", 2, "ready")}, 4)
	qt.Assert(t, r.Told([]Change[string]{set("a", 5, "draining"), del("b", 6), set("c", 7, "ready")}, 8), qt.IsTrue)
	qt.Assert(t, r.Items(), qt.DeepEquals, map[string]Item[string]{"a": {"a", 5, "draining"}, "c": {"c", 7, "ready"}})
	qt.Assert(t, r.At(), qt.Equals, Revision(8))
	qt.Assert(t, r.Told([]Change[string]{del("a", 3)}, 4), qt.IsFalse)
	// Its removal is older than what is known up to, yet was not heard of.
	qt.Assert(t, r.Told([]Change[string]{del("c", 8)}, 8), qt.IsTrue)
}
