package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
)

// byteCounter counts the bytes of the response bodies.
type byteCounter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (c byteCounter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

func (c byteCounter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// An entry reads the VM list repeatedly. While the list doesn't change it must not
// be transferred again. A change must be seen by the next read, also one that
// restores an earlier list.
func TestUnchangedListIsNotTransferredAgain(t *testing.T) {
	q := qt.New(t)
	p := platform.New(platform.Config{})
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.ServeHTTP(byteCounter{w, &sent}, r)
	}))
	defer srv.Close()
	s := store.New(store.Config{Addr: srv.URL, Reads: rate.NewLimiter(rate.Inf, 1)})
	one := platform.VM{ID: "vm-1", Addr: "127.0.0.1:1", State: platform.Live}
	two := platform.VM{ID: "vm-2", Addr: "127.0.0.1:2", State: platform.Live}
	read := func() (ids []string, bytes int64) {
		before := sent.Load()
		list, err := s.VMs(context.Background())
		q.Assert(err, qt.IsNil)
		for _, vm := range list {
			ids = append(ids, vm.ID)
		}
		return ids, sent.Load() - before
	}
	for _, step := range []struct {
		name   string
		change func()
		want   []string
		sent   bool
	}{
		{"first", func() { p.PutVM(one) }, []string{"vm-1"}, true},
		{"unchanged", func() {}, []string{"vm-1"}, false},
		{"added", func() { p.PutVM(two) }, []string{"vm-1", "vm-2"}, true},
		{"unchanged again", func() {}, []string{"vm-1", "vm-2"}, false},
		{"back to the first", func() { p.RemoveVM("vm-2") }, []string{"vm-1"}, true},
	} {
		step.change()
		ids, bytes := read()
		q.Check(ids, qt.DeepEquals, step.want, qt.Commentf(step.name))
		q.Check(bytes > 0, qt.Equals, step.sent, qt.Commentf(step.name))
	}
}

// An object was received from a watch. The poll that checks for a silent watch must
// not transfer it again. When the store was restored from a backup and assigns the
// same version to another value, the poll must return that value.
func TestReadAfterWatch(t *testing.T) {
	q := qt.New(t)
	p := platform.New(platform.Config{})
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.ServeHTTP(byteCounter{w, &sent}, r)
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := store.New(store.Config{Addr: srv.URL, Reads: rate.NewLimiter(rate.Inf, 1), Writes: rate.NewLimiter(rate.Inf, 1)})
	version, err := s.Put(ctx, "settings", "tree", 0, []byte("one"))
	q.Assert(err, qt.IsNil)
	changes := make(chan store.Change, 16)
	go func() { _ = s.Watch(ctx, "settings", 0, func(c store.Change) { changes <- c }) }()
	q.Assert(string((<-changes).Object.Value), qt.Equals, "one")

	before := sent.Load()
	o, err := s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	q.Check(string(o.Value), qt.Equals, "one")
	q.Check(sent.Load(), qt.Equals, before)

	p.Rollback(version - 1)
	again, err := s.Put(ctx, "settings", "tree", 0, []byte("two"))
	q.Assert(err, qt.IsNil)
	q.Assert(again, qt.Equals, version)
	other := store.New(store.Config{Addr: srv.URL})
	_, err = other.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	o, err = s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	q.Check(string(o.Value), qt.Equals, "two")
}
