package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func rev(epoch, position uint64) Revision { return NewRevision(epoch, position) }

// A restore from a copy brings a deleted object back. It counts as revived until it is
// written again.
func TestRevivedByARestore(t *testing.T) {
	c := qt.New(t)
	r := New(func(a, b int) bool { return a == b })
	r.Replace([]Item[int]{{"a", rev(1, 5), 1}, {"b", rev(1, 6), 1}}, rev(1, 10))
	r.Merge([]Change[int]{{Item[int]{Name: "a", Revision: rev(1, 12)}, true}}, rev(1, 12))
	c.Assert(r.Replace([]Item[int]{{"a", rev(2, 5), 1}, {"b", rev(2, 6), 1}}, rev(2, 8)), qt.IsTrue)
	c.Assert(r.Revived("a"), qt.IsTrue)
	c.Assert(r.Revived("b"), qt.IsFalse)
	r.Replace([]Item[int]{{"a", rev(2, 5), 1}, {"b", rev(2, 6), 1}}, rev(2, 9))
	c.Assert(r.Revived("a"), qt.IsTrue)
	c.Assert(r.Merge([]Change[int]{{Item[int]{"a", rev(2, 11), 1}, false}}, rev(2, 11)), qt.IsTrue)
	c.Assert(r.Revived("a"), qt.IsFalse)
}

// A list of a new epoch counts as a change even if no object differs. Otherwise the
// roster would not propagate the epoch, and the others would stay in the older one until
// something changes.
func TestNewEpochIsAChange(t *testing.T) {
	c := qt.New(t)
	r := New(func(a, b int) bool { return a == b })
	c.Assert(r.Replace([]Item[int]{{"a", rev(1, 5), 1}}, rev(1, 10)), qt.IsTrue)
	c.Assert(r.Replace([]Item[int]{{"a", rev(2, 5), 1}}, rev(2, 8)), qt.IsTrue)
	c.Assert(r.LastChange(), qt.Equals, rev(2, 8))
	_, ok := r.ChangesSince(rev(1, 10))
	c.Assert(ok, qt.IsFalse)
}

// restore restores the store from a copy that lacks the last changes. Everything that
// is read from it after that belongs to a new epoch.
func (h *storeHistory) restore(back int) {
	kept := len(h.changes) - min(back, len(h.changes))
	h.epoch++
	h.changes = slices.Clone(h.changes[:kept])
	h.current, h.deletedAt = make(map[string]Item[string]), make(map[string]Revision)
	for i := range h.changes {
		c := &h.changes[i]
		c.Revision = NewRevision(h.epoch, c.Revision.Position())
		if c.Deleted {
			delete(h.current, c.Name)
			h.deletedAt[c.Name] = c.Revision
			continue
		}
		h.current[c.Name] = c.Item
	}
}

// epochRegression describes a roster whose epoch has decreased.
func (c *cluster) epochRegression(epochs []uint64) string {
	for i, r := range c.rosters {
		if e := r.Revision().Epoch(); e < epochs[i] && r.Revision() > 0 {
			return fmt.Sprintf("roster %d went from epoch %d to %d", i, epochs[i], e)
		}
		epochs[i] = r.Revision().Epoch()
	}
	return ""
}

// The store is restored from older copies while rosters list, watch, pull and restart,
// with responses of several epochs in transit. A roster that takes an older epoch for the
// newer one, or mixes them, holds objects that the store doesn't.
func TestRostersAcrossRestores(t *testing.T) {
	const seeds, steps = 400, 300
	for seed := range uint64(seeds) {
		rnd := rand.New(rand.NewPCG(seed, 13))
		c := &cluster{storeHistory: &storeHistory{current: make(map[string]Item[string]), deletedAt: make(map[string]Revision), epoch: 1}}
		for range 4 {
			c.rosters = append(c.rosters, newTestRoster())
		}
		epochs := make([]uint64, len(c.rosters))
		for step := range steps {
			i, j := rnd.IntN(len(c.rosters)), rnd.IntN(len(c.rosters))
			switch n := rnd.IntN(20); {
			case n < 7:
				c.step(rnd)
			case n < 9:
				c.watch(i)
			case n < 10:
				c.list(i)
			case n < 13:
				c.pull(i, j)
			case n < 14 && rnd.IntN(4) == 0:
				c.restart(i)
			case n < 15 && rnd.IntN(8) == 0:
				c.restore(rnd.IntN(30))
			default:
				c.deliver(rnd)
			}
			qt.Assert(t, c.epochRegression(epochs), qt.Equals, "", qt.Commentf("seed %d, step %d", seed, step))
		}
		c.settle(rnd)
		for i, r := range c.rosters {
			qt.Assert(t, values(r), qt.DeepEquals, c.values(), qt.Commentf("seed %d, roster %d, epoch %d", seed, i, c.epoch))
		}
	}
}

// Revisions of a newer epoch are greater than all revisions of older epochs, at any
// position.
func TestRevisionOrder(t *testing.T) {
	c := qt.New(t)
	c.Assert(rev(2, 1) > rev(1, MaxPosition), qt.IsTrue)
	c.Assert(rev(0, 7), qt.Equals, Revision(7))
	c.Assert(rev(3, 9).Epoch(), qt.Equals, uint64(3))
	c.Assert(rev(3, 9).Position(), qt.Equals, uint64(9))
	c.Assert(rev(MaxEpoch+1, MaxPosition+1), qt.Equals, rev(MaxEpoch, MaxPosition))
}

// BenchmarkUnchanged measures a merge without changes into a roster of 720 targets.
func BenchmarkUnchanged(b *testing.B) {
	r := New(func(a, b int) bool { return a == b })
	var list []Item[int]
	for i := range 720 {
		list = append(list, Item[int]{fmt.Sprint("t", i), rev(1, uint64(i+1)), 1})
	}
	r.Replace(list, rev(1, 1000))
	b.ReportAllocs()
	for b.Loop() {
		r.Merge(nil, rev(1, 1001))
	}
}
