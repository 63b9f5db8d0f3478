package settings_test

import (
	"errors"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// An operator's edit is sent to one of three entries while the store, the gossip
// between the entries or an entry fails. In the end the edit must be in force at
// every entry. No entry may return to an older revision in between, and no accepted
// edit may be lost. The store's faults are an outage, a lost response, older data,
// a silent watch and a corrupt value.
func TestEditUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(w *testSite)
	}{
		{"none", func(w *testSite) {
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
		}},
		{"store down right after acceptance", func(w *testSite) {
			w.store.set(func(f *fakeStore) { f.downAfterWrites = f.writes + 1 })
			w.mustAccept(1, "e", 1, 2)
			w.waitInForce(2, "e")
		}},
		{"response lost", func(w *testSite) {
			w.store.set(func(f *fakeStore) { f.lostResponses = 1 })
			w.mustAccept(0, "e", 1, 2)
			w.mustAccept(2, "e", 1, 2)
			w.waitInForce(2, "e")
		}},
		{"response lost, then stale reads for a while", func(w *testSite) {
			w.store.set(func(f *fakeStore) { f.lostResponses, f.staleAfterWrite = 1, true })
			_, err := w.edit(0, "e", 1, set("/g/s", "slots", "3"))
			w.q.Assert(errors.As(err, new(*settings.Uncertain)), qt.IsTrue, qt.Commentf("%v", err))
			w.store.set(func(f *fakeStore) { f.staleWrites = 0 })
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
		}},
		{"store comes back older", func(w *testSite) {
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
			w.store.rollback(1)
			w.waitUntil("repair of the store", func() bool { return w.storedDocument().Revision == 2 })
			w.waitInForce(2, "e")
		}},
		{"store comes back empty", func(w *testSite) {
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
			w.store.rollback(2)
			w.waitUntil("repair of the store", func() bool { return w.storedDocument().Revision == 2 })
			w.waitInForce(2, "e")
		}},
		{"older store accepts an edit from an entry that was isolated", func(w *testSite) {
			w.entries[2].isolated.Store(true)
			w.entries[2].store.unreachable.Store(true)
			w.mustAccept(0, "e", 1, 2)
			w.waitUntil("the others", func() bool { return w.entries[1].Document().Revision == 2 })
			w.entries[0].store.unreachable.Store(true)
			w.entries[1].store.unreachable.Store(true)
			w.store.rollback(1)
			w.entries[2].store.unreachable.Store(false)
			_, err := w.edit(2, "f", 1, set("/g/s", "queue", "7"))
			w.q.Assert(err, qt.IsNil)
			for _, e := range w.entries {
				e.isolated.Store(false)
				e.store.unreachable.Store(false)
			}
			w.waitInForce(3, "e", "f")
		}},
		{"entry boots during an outage", func(w *testSite) {
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
			w.store.set(func(f *fakeStore) { f.down = true })
			w.gossipOff.Store(true)
			w.startEntry()
			w.waitInForce(2, "e")
		}},
		{"entry boots on an older store", func(w *testSite) {
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
			w.store.set(func(f *fakeStore) { f.staleWrites = 1 })
			w.startEntry()
			w.waitInForce(2, "e")
		}},
		{"entry isolated for a while", func(w *testSite) {
			w.entries[2].isolated.Store(true)
			w.store.set(func(f *fakeStore) { f.downAfterWrites = f.writes + 1 })
			w.mustAccept(0, "e", 1, 2)
			w.waitUntil("the others", func() bool { return w.entries[1].Document().Revision == 2 })
			w.q.Assert(w.entries[2].Document().Revision, qt.Equals, uint64(1))
			w.entries[2].isolated.Store(false)
			w.waitInForce(2, "e")
		}},
		{"silent watch and no peers", func(w *testSite) {
			for _, e := range w.entries {
				e.isolated.Store(true)
			}
			w.store.set(func(f *fakeStore) { f.silentWatch = true })
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
		}},
		{"corrupt value", func(w *testSite) {
			w.store.set(func(f *fakeStore) {
				f.history = append(f.history, store.Object{Version: 2, Value: []byte(`{"revision": 9}`)})
			})
			_, err := w.edit(0, "e", 1, set("/g/s", "slots", "3"))
			w.q.Assert(errors.As(err, new(*settings.Corrupt)), qt.IsTrue, qt.Commentf("%v", err))
			w.waitInForce(1, "seed")
			w.store.rollback(1)
			w.mustAccept(0, "e", 1, 2)
			w.waitInForce(2, "e")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestSite(qt.New(t), 3)
			w.seed()
			c.run(w)
		})
	}
}

// Two operators send edits with the same base to two entries. One edit must be
// accepted, and the other must get a conflict that contains both edits.
func TestConcurrentEdits(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  tree.Change
		second tree.Change
	}{
		{"one node", set("/g/s", "timeout", "1s"), set("/g/s", "timeout", "3s")},
		{"parent and child", set("/g", "timeout", "1s"), set("/g/s", "timeout", "3s")},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			w := newTestSite(q, 2)
			w.seed()
			_, err := w.edit(0, "one", 1, c.first)
			q.Assert(err, qt.IsNil)
			_, err = w.edit(1, "two", 1, c.second)
			var conflict *tree.Conflict
			q.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
			q.Assert(conflict.Accepted.Author, qt.Equals, "op-one")
			q.Assert(conflict.Rejected.ID, qt.Equals, "two")
			w.waitInForce(2, "one")
		})
	}
	t.Run("at once", func(t *testing.T) {
		q := qt.New(t)
		w := newTestSite(q, 2)
		w.seed()
		errs := make(chan error, 2)
		for i, id := range []string{"one", "two"} {
			go func() {
				_, err := w.edit(i, id, 1, set("/g/s", "slots", strconv.Itoa(3+i)))
				errs <- err
			}()
		}
		a, b := <-errs, <-errs
		q.Assert((a == nil) != (b == nil), qt.IsTrue, qt.Commentf("%v, %v", a, b))
		w.waitInForce(2)
	})
}

// The store is down during an edit. If no write was sent, the error must say that
// the edit was not accepted. If a write was sent and its response was lost, the
// outcome must be reported as unknown until the same edit is sent again.
func TestEditDuringOutage(t *testing.T) {
	q := qt.New(t)
	w := newTestSite(q, 2)
	w.seed()
	w.store.set(func(f *fakeStore) { f.down = true })
	_, err := w.edit(0, "never", 1, set("/g/s", "slots", "3"))
	q.Assert(errors.As(err, new(*settings.Uncertain)), qt.IsFalse, qt.Commentf("%v", err))
	q.Assert(store.IsUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
	w.store.set(func(f *fakeStore) { f.down, f.lostResponses, f.downAfterWrites = false, 1, f.writes+1 })
	_, err = w.edit(0, "open", 1, set("/g/s", "slots", "3"))
	q.Assert(errors.As(err, new(*settings.Uncertain)), qt.IsTrue, qt.Commentf("%v", err))
	w.store.set(func(f *fakeStore) { f.down, f.downAfterWrites = false, 0 })
	w.mustAccept(1, "open", 1, 2)
	w.waitInForce(2, "open")
}

// Eight entries see a store that was restored with older data. The repairs are
// delayed at random and their writes are conditional, so exactly one entry must
// write.
func TestOneEntryRepairsStore(t *testing.T) {
	q := qt.New(t)
	w := newTestSite(q, 8)
	w.seed()
	w.mustAccept(0, "e", 1, 2)
	w.waitInForce(2, "e")
	w.store.rollback(1)
	w.waitUntil("repair of the store", func() bool { return w.storedDocument().Revision == 2 })
	w.store.set(func(f *fakeStore) { q.Check(f.writes, qt.Equals, 3) })
}

func TestDocumentTooLarge(t *testing.T) {
	q := qt.New(t)
	w := newTestSite(q, 1)
	w.seed()
	var changes []tree.Change
	for i := range 12_000 {
		changes = append(changes, tree.Change{Op: tree.Create, Path: "/g/service-" + strconv.Itoa(i), Kind: tree.ServiceKind})
	}
	_, err := w.edit(0, "long", 1, changes...)
	q.Assert(errors.As(err, new(*settings.TooLarge)), qt.IsTrue, qt.Commentf("%v", err))
}
