package tree_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumpitch.example/plumpitch/pkg/tree"
)

// The store lost its newest writes and an entry that was cut off from its peers
// got an edit accepted on the older data. Both histories hold accepted edits,
// so neither may simply replace the other: an operator would see an accepted
// edit vanish. Joined, all edits are in, and one that clashes is named.
func TestDiverged(t *testing.T) {
	for _, c := range []struct {
		name    string
		ours    []tree.Change
		theirs  []tree.Change
		dropped int
	}{
		{"one each", []tree.Change{set("/g/s", "timeout", "1s")}, []tree.Change{set("/g/t", "timeout", "2s")}, 0},
		{"more of ours", []tree.Change{set("/g/s", "timeout", "1s"), set("/g", "queue", "9")}, []tree.Change{set("/g/t", "timeout", "2s")}, 0},
		{"more of theirs", []tree.Change{set("/g/s", "timeout", "1s")}, []tree.Change{set("/g/t", "timeout", "2s"), set("/g", "queue", "9")}, 0},
		{"clash", []tree.Change{set("/g/s", "timeout", "1s")}, []tree.Change{set("/g/s", "timeout", "2s")}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			base := site(q)
			grow := func(side string, changes []tree.Change) tree.Document {
				d := base
				for i, change := range changes {
					d = apply(q, d, edit(fmt.Sprint(side, i), d.Revision, change))
				}
				return d
			}
			ours, theirs := grow("ours", c.ours), grow("theirs", c.theirs)
			kept, verdict := tree.Merge(ours, theirs)
			q.Assert(verdict, qt.Equals, tree.Diverged)
			q.Assert(kept.Revision, qt.Equals, ours.Revision)
			joined, dropped := tree.Join(theirs, ours)
			q.Assert(dropped, qt.HasLen, c.dropped)
			q.Assert(joined.Revision, qt.Equals, uint64(1+len(c.ours)+len(c.theirs)))
			for _, side := range []tree.Document{ours, theirs} {
				_, verdict := tree.Merge(side, joined)
				q.Assert(verdict, qt.Equals, tree.Taken)
			}
		})
	}
}

// An entry at 2' asks one at 3 for the edits since 2. Its own edit 2' is not in
// that history: the edits must not be replayed on top of it.
func TestReplayRefusesAnotherHistory(t *testing.T) {
	q := qt.New(t)
	base := site(q)
	ours := apply(q, base, edit("ours", 1, set("/g/s", "timeout", "1s")))
	theirs := apply(q, base, edit("a", 1, set("/g/t", "queue", "9")), edit("b", 2, set("/g/t", "slots", "9")))
	edits, ok := theirs.Since(ours.Revision)
	q.Assert(ok, qt.IsTrue)
	kept, err := ours.Replay(edits)
	q.Assert(err, qt.ErrorIs, tree.ErrGap)
	q.Assert(kept.Revision, qt.Equals, ours.Revision)
	_, err = base.Replay(edits)
	q.Assert(err, qt.ErrorIs, tree.ErrGap)
}

// copies is a model of entries that hold copies of the document and pass them
// on in any order, through a store that may come back older.
type copies struct {
	held    []tree.Document
	history []tree.Document // each accepted document
	joins   int
}

var (
	paths  = []string{"/", "/g", "/g/s", "/g/t"}
	values = map[string][]string{"timeout": {"1s", "2s", "3s"}, "slots": {"1", "2"}, "queue": {"5", "6"}}
)

func (m *copies) edit(t *rapid.T, n int) {
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "entry")
	field := rapid.SampledFrom([]string{"timeout", "slots", "queue"}).Draw(t, "field")
	c := set(rapid.SampledFrom(paths).Draw(t, "path"), field, rapid.SampledFrom(values[field]).Draw(t, "value"))
	if rapid.Bool().Draw(t, "unset") {
		c = unset(c.Path, c.Field)
	}
	newest := m.history[len(m.history)-1]
	base := rapid.Uint64Range(m.held[i].Revision, newest.Revision).Draw(t, "base")
	next, accepted, err := newest.Apply(edit(fmt.Sprint("e", n), base, c), start)
	if err != nil {
		return
	}
	if accepted.Revision != newest.Revision+1 {
		t.Fatalf("revision %d after %d", accepted.Revision, newest.Revision)
	}
	m.history = append(m.history, next)
	m.take(t, i, next)
}

func (m *copies) take(t *rapid.T, i int, incoming tree.Document) {
	before := m.held[i]
	after, verdict := tree.Merge(before, incoming)
	if after.Revision < before.Revision {
		t.Fatalf("revision fell from %d to %d", before.Revision, after.Revision)
	}
	if verdict == tree.Diverged {
		t.Fatalf("one history can't diverge: %d and %d", before.Revision, incoming.Revision)
	}
	m.held[i] = after
}

func (m *copies) pass(t *rapid.T) {
	to := rapid.IntRange(0, len(m.held)-1).Draw(t, "to")
	if rapid.Bool().Draw(t, "store") {
		m.take(t, to, rapid.SampledFrom(m.history).Draw(t, "older"))
		return
	}
	from := m.held[rapid.IntRange(0, len(m.held)-1).Draw(t, "from")]
	edits, ok := from.Since(m.held[to].Revision)
	if !ok {
		m.take(t, to, from)
		return
	}
	next, err := m.held[to].Replay(edits)
	if err != nil {
		t.Fatal(err)
	}
	if from.Revision >= next.Revision && string(tree.Encode(next)) != string(tree.Encode(from)) {
		t.Fatalf("replayed edits gave another document at revision %d", next.Revision)
	}
	m.take(t, to, next)
}

func TestMergeNeverGoesBack(t *testing.T) {
	first := site(qt.New(t))
	rapid.Check(t, func(t *rapid.T) {
		m := &copies{history: []tree.Document{first}}
		for range 3 {
			m.held = append(m.held, first)
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "edit") {
				m.edit(t, n)
				continue
			}
			m.pass(t)
		}
	})
}

func TestJoinKeepsEveryEdit(t *testing.T) {
	first := site(qt.New(t))
	rapid.Check(t, func(t *rapid.T) {
		sides := [2]tree.Document{first, first}
		for n := range rapid.IntRange(2, 20).Draw(t, "edits") {
			i := rapid.IntRange(0, 1).Draw(t, "side")
			field := rapid.SampledFrom([]string{"timeout", "slots"}).Draw(t, "field")
			c := set(rapid.SampledFrom(paths).Draw(t, "path"), field, rapid.SampledFrom(values[field]).Draw(t, "value"))
			next, _, err := sides[i].Apply(edit(fmt.Sprint("e", n), sides[i].Revision, c), start)
			if err != nil {
				t.Fatal(err)
			}
			sides[i] = next
		}
		joined, dropped := tree.Join(sides[0], sides[1])
		if faults := joined.Check(); len(faults) > 0 {
			t.Fatal(faults)
		}
		for _, side := range sides {
			after, verdict := tree.Merge(side, joined)
			if verdict != tree.Taken && verdict != tree.Same {
				t.Fatalf("verdict %d at %d with %d, dropped %d", verdict, side.Revision, joined.Revision, len(dropped))
			}
			if after.Revision != joined.Revision {
				t.Fatalf("found revision %d, expected %d", after.Revision, joined.Revision)
			}
		}
	})
}
