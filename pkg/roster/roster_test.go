package roster

import (
	"math/rand/v2"
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
