package settings_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// fakeStore is a fake of the platform's store for one object, with faults.
type fakeStore struct {
	mu              sync.Mutex
	history         []store.Object
	down            bool
	downAfterWrites int // number of writes after which the store goes down; 0 is never
	lostResponses   int // number of writes whose responses are lost
	silentWatch     bool
	staleWrites     int  // number of newest writes that reads don't show
	staleAfterWrite bool // the next write sets staleWrites to 1
	writes          int
	followers       []func(store.Object)
}

var errDown = &store.Unavailable{Cause: errors.New("refused"), NotSent: true}

func (f *fakeStore) current() store.Object {
	if n := len(f.history) - f.staleWrites; n > 0 {
		return f.history[n-1]
	}
	return store.Object{}
}

func (f *fakeStore) Get(ctx context.Context, _, _ string) (store.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case ctx.Err() != nil || f.down:
		return store.Object{}, errDown
	case f.current().Version == 0:
		return store.Object{}, store.ErrNotFound
	}
	return f.current(), nil
}

func (f *fakeStore) Put(_ context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	var version uint64
	if n := len(f.history); n > 0 {
		version = f.history[n-1].Version
	}
	if version != expected {
		return 0, &store.ErrConflict{Expected: expected, Current: version}
	}
	f.writes++
	f.history = append(f.history, store.Object{Kind: kind, Name: name, Version: version + 1, Value: value})
	if f.staleAfterWrite {
		f.staleWrites, f.staleAfterWrite = 1, false
	}
	if f.downAfterWrites > 0 && f.writes >= f.downAfterWrites {
		f.down, f.silentWatch = true, true
	}
	f.notifyFollowers()
	if f.lostResponses > 0 {
		f.lostResponses--
		return 0, &store.Unavailable{Cause: errors.New("reset")}
	}
	return version + 1, nil
}

// notifyFollowers delivers the current object to the followers, as the watch does.
func (f *fakeStore) notifyFollowers() {
	if f.silentWatch {
		return
	}
	for _, onChange := range f.followers {
		go onChange(f.current())
	}
}

// entryStore is the store as seen by one entry.
type entryStore struct {
	*fakeStore
	unreachable atomic.Bool // the entry can't reach the store
}

func (v *entryStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	if v.unreachable.Load() {
		return store.Object{}, errDown
	}
	return v.fakeStore.Get(ctx, kind, name)
}

func (v *entryStore) Put(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error) {
	if v.unreachable.Load() {
		return 0, errDown
	}
	return v.fakeStore.Put(ctx, kind, name, expected, value)
}

// Follow polls each millisecond in addition to the watch, unless the store is down.
func (v *entryStore) Follow(ctx context.Context, w store.Follow) error {
	onChange := func(o store.Object) {
		if !v.unreachable.Load() {
			w.OnChange(o)
		}
	}
	v.set(func(f *fakeStore) { f.followers = append(f.followers, onChange) })
	for ctx.Err() == nil {
		var o store.Object
		var down bool
		v.set(func(f *fakeStore) { o, down = f.current(), f.down })
		if !down {
			onChange(o)
		}
		time.Sleep(time.Millisecond)
	}
	return ctx.Err()
}

// set changes the faults or the contents under the lock.
func (f *fakeStore) set(change func(f *fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// rollback removes the newest n writes.
func (f *fakeStore) rollback(n int) {
	f.set(func(f *fakeStore) { f.history = f.history[:len(f.history)-n] })
}

// entry is one entry of a testSite.
type entry struct {
	*settings.Settings
	site              *testSite
	isolated          atomic.Bool // the entry can't reach its peers
	store             *entryStore
	revisionDecreased atomic.Bool // the revision in force decreased
}

// peers sends requests to the first other entry that can be reached.
type peers struct{ e *entry }

func (p peers) Settings(_ context.Context, since uint64) (settings.Change, error) {
	for _, other := range p.e.site.all() {
		if other != p.e && !other.isolated.Load() && !p.e.isolated.Load() {
			return other.Since(since), nil
		}
	}
	return settings.Change{}, errors.New("no peer")
}

// testSite is a site of entries with their store and their gossip.
type testSite struct {
	q         *qt.C
	ctx       context.Context
	store     *fakeStore
	running   sync.WaitGroup
	mu        sync.Mutex
	entries   []*entry
	gossipOff atomic.Bool // no gossip; peers still respond to requests
}

func newTestSite(q *qt.C, entries int) *testSite {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	w := &testSite{q: q, ctx: ctx, store: &fakeStore{}}
	q.Cleanup(func() {
		cancel()
		w.running.Wait()
	})
	for range entries {
		w.startEntry()
	}
	return w
}

// startEntry starts an entry.
func (w *testSite) startEntry() {
	e := &entry{site: w, store: &entryStore{fakeStore: w.store}}
	e.Settings = settings.New(settings.Config{
		Store: e.store,
		Peers: peers{e},
		Log:   &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Rand:  rand.New(rand.NewPCG(1, uint64(len(w.entries)))),
		Now:   func() time.Time { return time.Unix(1_800_000_000, 0) },
		Wait: func(ctx context.Context, _ time.Duration) error {
			time.Sleep(100 * time.Microsecond)
			return ctx.Err()
		},
	})
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	for _, worker := range e.Workers() {
		w.running.Go(func() { _ = worker.Serve(w.ctx) })
	}
	w.running.Go(e.gossip)
}

// gossip sends the changes in force to the other entries, as a real entry does.
func (e *entry) gossip() {
	newest := uint64(0)
	for e.site.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		if r := e.Document().Revision; r < newest {
			e.revisionDecreased.Store(true)
		} else {
			newest = r
		}
		for _, o := range e.site.all() {
			if o != e && !e.isolated.Load() && !o.isolated.Load() && !e.site.gossipOff.Load() {
				e.sendChanges(o)
			}
		}
	}
}

func (w *testSite) all() []*entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.entries)
}

func (e *entry) sendChanges(o *entry) {
	if err := o.ApplyChange(e.site.ctx, e.Since(o.Document().Revision)); errors.Is(err, tree.ErrHistoryMismatch) {
		_ = o.ApplyChange(e.site.ctx, e.Since(0))
	}
}

// edit sends an edit to an entry and waits up to 300 ms for its outcome.
func (w *testSite) edit(to int, id string, base uint64, changes ...tree.Change) (tree.Edit, error) {
	ctx, cancel := context.WithTimeout(w.ctx, 300*time.Millisecond)
	defer cancel()
	return w.entries[to].Edit(ctx, tree.Edit{ID: id, Author: "op-" + id, Base: base, Changes: changes})
}

// seed creates the first revision: a group and a service in it.
func (w *testSite) seed() {
	w.q.Helper()
	_, err := w.edit(0, "seed", 0,
		tree.Change{Op: tree.Create, Path: "/g", Kind: tree.GroupKind},
		tree.Change{Op: tree.Create, Path: "/g/s", Kind: tree.ServiceKind})
	w.q.Assert(err, qt.IsNil)
	w.waitInForce(1, "seed")
}

// waitInForce waits until a revision with the given edits is in force at every
// entry. It fails the test if the revision of an entry decreased.
func (w *testSite) waitInForce(revision uint64, ids ...string) {
	w.q.Helper()
	w.waitUntil("revision "+fmt.Sprint(revision), func() bool {
		for _, e := range w.entries {
			d := e.Document()
			if d.Revision != revision {
				return false
			}
			for _, id := range ids {
				if _, ok := d.FindEdit(id); !ok {
					return false
				}
			}
		}
		return true
	})
	for i, e := range w.entries {
		w.q.Assert(e.revisionDecreased.Load(), qt.IsFalse, qt.Commentf("entry %d returned to an older revision", i))
	}
}

func (w *testSite) waitUntil(what string, done func() bool) {
	w.q.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.q.Fatalf("%s not reached in 5 s", what)
		}
	}
}

func set(path, field, value string) tree.Change {
	return tree.Change{Op: tree.Set, Path: path, Field: field, Value: value}
}

// mustAccept sends an edit and fails the test unless it is accepted with the given
// revision.
func (w *testSite) mustAccept(to int, id string, base, revision uint64) {
	w.q.Helper()
	accepted, err := w.edit(to, id, base, set("/g/s", "slots", "3"))
	w.q.Assert(err, qt.IsNil)
	w.q.Assert(accepted.Revision, qt.Equals, revision)
}

// storedDocument returns the document that the store holds.
func (w *testSite) storedDocument() (d tree.Document) {
	w.store.set(func(f *fakeStore) {
		if o := f.current(); o.Version > 0 {
			d, _ = tree.Decode(o.Value)
		}
	})
	return d
}
