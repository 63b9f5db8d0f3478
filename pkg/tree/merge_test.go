package tree_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"plumpitch.example/plumpitch/pkg/tree"
)

// The store loses its latest writes, and an entry without a connection to its peers
// then gets an edit accepted on the older data. Both histories contain accepted
// edits, so neither may replace the other: an accepted edit would vanish. The
// log of the merged document must contain all edits. A conflicting one is logged
// without its changes and must be returned.
func TestMergeDiverged(t *testing.T) {
	for _, c := range []struct {
		name    string
		ours    []tree.Change
		theirs  []tree.Change
		dropped int
	}{
		{"one each", []tree.Change{set("/g/s", "timeout", "1s")}, []tree.Change{set("/g/t", "timeout", "2s")}, 0},
		{"more of ours", []tree.Change{set("/g/s", "timeout", "1s"), set("/g", "queue", "9")}, []tree.Change{set("/g/t", "timeout", "2s")}, 0},
		{"more of theirs", []tree.Change{set("/g/s", "timeout", "1s")}, []tree.Change{set("/g/t", "timeout", "2s"), set("/g", "queue", "9")}, 0},
		{"conflict", []tree.Change{set("/g/s", "timeout", "1s")}, []tree.Change{set("/g/s", "timeout", "2s")}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			base := newSite(q)
			applyAll := func(side string, changes []tree.Change) tree.Document {
				d := base
				for i, change := range changes {
					d = apply(q, d, edit(fmt.Sprint(side, i), d.Revision, change))
				}
				return d
			}
			ours, theirs := applyAll("ours", c.ours), applyAll("theirs", c.theirs)
			current, result := tree.Merge(ours, theirs)
			q.Assert(result, qt.Equals, tree.Diverged)
			q.Assert(current.Revision, qt.Equals, ours.Revision)
			merged, dropped := tree.MergeDiverged(theirs, ours)
			q.Assert(dropped, qt.HasLen, c.dropped)
			q.Assert(merged.Revision, qt.Equals, uint64(1+len(c.ours)+len(c.theirs)))
			for _, side := range []tree.Document{ours, theirs} {
				_, result := tree.Merge(side, merged)
				q.Assert(result, qt.Equals, tree.FastForward)
			}
		})
	}
}

// Two histories diverged at revision 2. An entry at revision 2 of the first receives
// edits 2 and 3 of the second. It must not replay them, because the second history
// lacks its own edit 2. An entry at revision 1 must not replay them either: it
// contains none of them, so it can't verify that the histories are the same.
func TestReplayRejectsDivergedHistory(t *testing.T) {
	q := qt.New(t)
	base := newSite(q)
	ours := apply(q, base, edit("ours", 1, set("/g/s", "timeout", "1s")))
	theirs := apply(q, base, edit("a", 1, set("/g/t", "queue", "9")), edit("b", 2, set("/g/t", "slots", "9")))
	edits, ok := theirs.EditsFrom(ours.Revision)
	q.Assert(ok, qt.IsTrue)
	current, err := ours.Replay(edits)
	q.Assert(err, qt.ErrorIs, tree.ErrHistoryMismatch)
	q.Assert(current.Revision, qt.Equals, ours.Revision)
	_, err = base.Replay(edits)
	q.Assert(err, qt.ErrorIs, tree.ErrHistoryMismatch)
}

// replicas models entries that each hold a copy of the document. They exchange
// documents and edits in any order, and read documents from a store that may be
// restored to older data.
type replicas struct {
	documents []tree.Document // by entry
	history   []tree.Document // the document after each accepted edit, oldest first
	joins     int
}

var (
	paths  = []string{"/", "/g", "/g/s", "/g/t"}
	values = map[string][]string{"timeout": {"1s", "2s", "3s"}, "slots": {"1", "2"}, "queue": {"5", "6"}}
)

// applyRandomEdit applies a random edit to the newest document and merges the result
// into the copy of a random entry. The base revision of the edit lies between the
// revision of that copy and the newest one.
func (m *replicas) applyRandomEdit(t *rapid.T, n int) {
	i := rapid.IntRange(0, len(m.documents)-1).Draw(t, "entry")
	field := rapid.SampledFrom([]string{"timeout", "slots", "queue"}).Draw(t, "field")
	c := set(rapid.SampledFrom(paths).Draw(t, "path"), field, rapid.SampledFrom(values[field]).Draw(t, "value"))
	if rapid.Bool().Draw(t, "unset") {
		c = unset(c.Path, c.Field)
	}
	newest := m.history[len(m.history)-1]
	base := rapid.Uint64Range(m.documents[i].Revision, newest.Revision).Draw(t, "base")
	next, accepted, err := newest.Apply(edit(fmt.Sprint("e", n), base, c), acceptTime)
	if err != nil {
		return
	}
	if accepted.Revision != newest.Revision+1 {
		t.Fatalf("revision %d after %d", accepted.Revision, newest.Revision)
	}
	m.history = append(m.history, next)
	m.merge(t, i, next)
}

// merge merges a document into the copy of entry i and checks that its revision does
// not decrease.
func (m *replicas) merge(t *rapid.T, i int, incoming tree.Document) {
	before := m.documents[i]
	after, result := tree.Merge(before, incoming)
	if after.Revision < before.Revision {
		t.Fatalf("revision decreased from %d to %d", before.Revision, after.Revision)
	}
	if result == tree.Diverged {
		t.Fatalf("documents of one history reported as diverged: revisions %d and %d", before.Revision, incoming.Revision)
	}
	m.documents[i] = after
}

// transfer updates a random entry with a document from the store, or with edits or a
// document from another entry.
func (m *replicas) transfer(t *rapid.T) {
	to := rapid.IntRange(0, len(m.documents)-1).Draw(t, "to")
	if rapid.Bool().Draw(t, "store") {
		m.merge(t, to, rapid.SampledFrom(m.history).Draw(t, "older"))
		return
	}
	from := m.documents[rapid.IntRange(0, len(m.documents)-1).Draw(t, "from")]
	edits, ok := from.EditsFrom(m.documents[to].Revision)
	if !ok {
		m.merge(t, to, from)
		return
	}
	next, err := m.documents[to].Replay(edits)
	if err != nil {
		t.Fatal(err)
	}
	if from.Revision >= next.Revision && string(tree.Encode(next)) != string(tree.Encode(from)) {
		t.Fatalf("replayed edits led to a different document at revision %d", next.Revision)
	}
	m.merge(t, to, next)
}

// Entries exchange documents in any order, and the store may return older ones. The
// revision at an entry must never decrease.
func TestMergeNeverLowersRevision(t *testing.T) {
	first := newSite(qt.New(t))
	rapid.Check(t, func(t *rapid.T) {
		m := &replicas{history: []tree.Document{first}}
		for range 3 {
			m.documents = append(m.documents, first)
		}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "edit") {
				m.applyRandomEdit(t, n)
				continue
			}
			m.transfer(t)
		}
	})
}

// Two histories diverge by random edits. The merged document must be valid and
// supersede both.
func TestMergeDivergedSupersedesBoth(t *testing.T) {
	first := newSite(qt.New(t))
	rapid.Check(t, func(t *rapid.T) {
		sides := [2]tree.Document{first, first}
		for n := range rapid.IntRange(2, 20).Draw(t, "edits") {
			i := rapid.IntRange(0, 1).Draw(t, "side")
			field := rapid.SampledFrom([]string{"timeout", "slots"}).Draw(t, "field")
			c := set(rapid.SampledFrom(paths).Draw(t, "path"), field, rapid.SampledFrom(values[field]).Draw(t, "value"))
			next, _, err := sides[i].Apply(edit(fmt.Sprint("e", n), sides[i].Revision, c), acceptTime)
			if err != nil {
				t.Fatal(err)
			}
			sides[i] = next
		}
		merged, dropped := tree.MergeDiverged(sides[0], sides[1])
		if problems := merged.Check(); len(problems) > 0 {
			t.Fatal(problems)
		}
		for _, side := range sides {
			after, result := tree.Merge(side, merged)
			if result != tree.FastForward && result != tree.Same {
				t.Fatalf("merge result %d: revision %d with %d, %d edits dropped", result, side.Revision, merged.Revision, len(dropped))
			}
			if after.Revision != merged.Revision {
				t.Fatalf("found revision %d, expected %d", after.Revision, merged.Revision)
			}
		}
	})
}
