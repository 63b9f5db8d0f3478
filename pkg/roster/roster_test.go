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

// Updates of a target arrive from the store and from two other entries, late, repeatedly
// and out of order. In any order the roster must end with the newest state of each
// target. A removed target must not come back.
func TestAnyOrder(t *testing.T) {
	history := []Change[string]{
		set("a", 1, "ready"), set("b", 2, "ready"), set("a", 3, "draining"),
		del("a", 4), set("b", 5, "moved"), set("c", 6, "ready"),
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		r := New(same)
		updates := append(append([]Change[string]{}, history...), history[:3]...)
		rnd.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		for _, c := range updates {
			r.Apply([]Change[string]{c}, c.Revision)
		}
		qt.Assert(t, r.Items(), qt.DeepEquals, map[string]Item[string]{
			"b": {"b", 5, "moved"}, "c": {"c", 6, "ready"},
		})
	}
}

func TestReplace(t *testing.T) {
	tests := []struct {
		name    string
		list    []Item[string]
		at      Revision
		want    []string
		changed bool
	}{
		{"newer list without one of them", []Item[string]{{"b", 2, "y"}}, 9, []string{"b"}, true},
		{"newer list of the same", []Item[string]{{"a", 1, "x"}, {"b", 2, "y"}}, 9, []string{"a", "b"}, false},
		{"stale list removes nothing", nil, 1, []string{"a", "b"}, false},
		{"stale list brings nothing back", []Item[string]{{"gone", 3, "z"}}, 3, []string{"a", "b"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(same)
			r.Apply([]Change[string]{set("a", 1, "x"), set("b", 2, "y"), set("gone", 3, "z"), del("gone", 4)}, 4)
			qt.Assert(t, r.Replace(tt.list, tt.at), qt.Equals, tt.changed)
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

// A heartbeat writes a new revision without a significant change. It must not be sent
// to the other entries.
func TestHeartbeatIsNoChange(t *testing.T) {
	r := New(func(a, b string) bool { return a[0] == b[0] })
	r.Apply([]Change[string]{set("a", 1, "r1")}, 1)
	qt.Assert(t, r.Apply([]Change[string]{set("a", 2, "r2")}, 2), qt.IsFalse)
	qt.Assert(t, r.LastChange(), qt.Equals, Revision(1))
	qt.Assert(t, r.Revision(), qt.Equals, Revision(2))
}

// An entry that lacks changes receives only those of ChangesSince, and must then hold
// what the sender holds. An entry that has nothing receives the whole list.
func TestChangesSince(t *testing.T) {
	same := func(a, b string) bool { return a[0] == b[0] }
	rnd := rand.New(rand.NewPCG(2, 2))
	for range 200 {
		sender, receiver := New(same), New(same)
		for rev := Revision(1); rev < 60; rev++ {
			c := set(string(rune('a'+rnd.IntN(8))), rev, string(rune('x'+rnd.IntN(2)))+"beat")
			c.Deleted = rnd.IntN(4) == 0
			sender.Apply([]Change[string]{c}, rev)
			if rnd.IntN(10) > 0 {
				continue
			}
			changes, ok := sender.ChangesSince(receiver.LastChange())
			qt.Assert(t, ok, qt.Equals, receiver.LastChange() > 0)
			if !ok {
				receiver.Replace(slices.Collect(maps.Values(sender.Items())), sender.Revision())
				continue
			}
			receiver.Apply(changes, sender.Revision())
			qt.Assert(t, values(receiver), qt.DeepEquals, values(sender))
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

// Heartbeats, which write a new revision without a significant change, are not sent.
func TestChangesSinceExcludesHeartbeats(t *testing.T) {
	r := New(func(a, b string) bool { return a[0] == b[0] })
	r.Apply([]Change[string]{set("a", 1, "r1"), set("b", 2, "r1"), set("a", 3, "r2")}, 3)
	changes, ok := r.ChangesSince(1)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, changes, qt.DeepEquals, []Change[string]{set("b", 2, "r1")})
}

// Targets are added and removed as long as an entry runs. The number of remembered
// deletions stays bounded, and ChangesSince fails for a revision before pruned ones.
func TestPruneDeletions(t *testing.T) {
	r := New(same)
	for rev := Revision(1); rev <= 10*maxDeletions; rev += 2 {
		name := fmt.Sprint(rev)
		r.Apply([]Change[string]{set(name, rev, "x"), del(name, rev+1)}, rev+1)
		r.PruneDeletions()
	}
	qt.Assert(t, len(r.deletedAt) <= maxDeletions, qt.IsTrue)
	_, ok := r.ChangesSince(1)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = r.ChangesSince(r.Revision() - 10)
	qt.Assert(t, ok, qt.IsTrue)
}

// Records expire during an outage of the store. After its return they are retained as
// long as their owners may take to write them again, and are removed after that. A
// record that vanishes at any other time is removed at once.
func TestVanished(t *testing.T) {
	start := time.Unix(100, 0)
	tests := []struct {
		name    string
		age     time.Duration // of the store data when the store answered
		removed time.Duration // after the store answered
		checked time.Duration // after the store answered
		want    int
	}{
		{"no outage", time.Second, 0, 0, 0},
		{"outage", 4 * time.Second, 0, time.Second, 1},
		{"vanishes soon after the return", 4 * time.Second, time.Second, time.Second, 1},
		{"still missing after its time", 4 * time.Second, 0, RetentionTime, 0},
		{"vanishes later", 4 * time.Second, RetentionTime, RetentionTime, 0},
	}
	for _, tt := range tests {
		v := NewVanished[string]()
		v.StoreAnswered(start, tt.age)
		v.RetainRemoved(start.Add(tt.removed), Item[string]{Name: "a"})
		qt.Assert(t, v.Items(start.Add(tt.checked)), qt.HasLen, tt.want, qt.Commentf("%s", tt.name))
	}
}

// A target is removed, and an entry that starts after that lists the store. Another
// entry, which still has the target, asks it for the changes since its own revision.
// The list doesn't show the removal. If the new entry replied without the removal, the
// other would send requests to the target for seconds. The same holds for an entry that
// lists the store after a gap in the changes that it received.
func TestChangesAcrossAList(t *testing.T) {
	tests := []struct {
		name   string
		before []Item[string] // items before the list
		at     Revision
	}{
		{"first list", nil, 0},
		{"list after a gap", []Item[string]{{"a", 1, "ready"}}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			lister, other := New(same), New(same)
			if tt.at > 0 {
				lister.Replace(tt.before, tt.at)
			}
			other.Apply([]Change[string]{set("a", 1, "ready"), set("gone", 3, "ready")}, 4)
			// gone is removed at 5, b comes at 6.
			list := []Item[string]{{"a", 1, "ready"}, {"b", 6, "ready"}}
			lister.Replace(list, 7)
			changes, ok := lister.ChangesSince(other.LastChange())
			if ok {
				other.Apply(changes, lister.Revision())
			} else {
				other.Replace(slices.Collect(maps.Values(lister.Items())), lister.Revision())
			}
			_, known := other.Get("gone")
			c.Assert(known, qt.IsFalse)
			_, known = other.Get("b")
			c.Assert(known, qt.IsTrue)
			lister.Apply([]Change[string]{set("c", 8, "ready")}, 8)
			_, ok = lister.ChangesSince(7)
			c.Assert(ok, qt.IsTrue)
		})
	}
}

// A target is added and removed within a second. One entry has received only the
// addition. Another has received neither and lists the store after the removal. When
// the first sends its state to the second, as changes or as a list, the target must not
// come back. It would stay until the next list, since its removal isn't sent again.
func TestRemovedInAGapStaysRemoved(t *testing.T) {
	tests := []struct {
		name   string
		before []Item[string] // items of the second entry before its list
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
				if tt.before != nil {
					second.Replace(tt.before, 2)
				}
				second.Replace([]Item[string]{{"a", 1, "ready"}, {"b", 6, "ready"}}, 7)
				if changes, ok := first.ChangesSince(1); ok && !whole {
					second.Merge(changes, first.Revision())
				} else {
					second.Replace(slices.Collect(maps.Values(first.Items())), first.Revision())
				}
				_, back := second.Get("brief")
				qt.Check(t, back, qt.IsFalse, qt.Commentf("whole list: %v", whole))
				_, known := second.Get("b")
				qt.Check(t, known, qt.IsTrue)
			}
		})
	}
}

// Changes from another entry are merged if they are newer than the known state: a
// target that is added, one that changes, and one that is removed.
func TestMerge(t *testing.T) {
	r := New(same)
	r.Apply([]Change[string]{set("a", 1, "ready"), set("b", 2, "ready")}, 4)
	qt.Assert(t, r.Merge([]Change[string]{set("a", 5, "draining"), del("b", 6), set("c", 7, "ready")}, 8), qt.IsTrue)
	qt.Assert(t, r.Items(), qt.DeepEquals, map[string]Item[string]{"a": {"a", 5, "draining"}, "c": {"c", 7, "ready"}})
	qt.Assert(t, r.Revision(), qt.Equals, Revision(8))
	qt.Assert(t, r.Merge([]Change[string]{del("a", 3)}, 4), qt.IsFalse)
	// The removal is within the known history, but was not received before.
	qt.Assert(t, r.Merge([]Change[string]{del("c", 8)}, 8), qt.IsTrue)
}
