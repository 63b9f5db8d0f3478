package store_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
)

func startPlatform(t *testing.T) (*platform.Platform, *store.Client, context.Context) {
	p := platform.New(platform.Config{})
	srv := httptest.NewServer(p)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(func() {
		cancel()
		srv.CloseClientConnections()
		srv.Close()
	})
	return p, store.New(store.Config{
		Addr:    srv.URL,
		Reads:   rate.NewLimiter(rate.Inf, 1),
		Writes:  rate.NewLimiter(rate.Inf, 1),
		Timeout: time.Second,
		Backoff: store.Backoff{Base: time.Millisecond, Cap: 4 * time.Millisecond},
	}), ctx
}

func TestConditionalWrites(t *testing.T) {
	q := qt.New(t)
	_, s, ctx := startPlatform(t)
	_, err := s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.ErrorIs, store.ErrNotFound)
	v1, err := s.Put(ctx, "settings", "tree", 0, []byte("a"))
	q.Assert(err, qt.IsNil)
	_, err = s.Put(ctx, "settings", "tree", 0, []byte("b"))
	q.Assert(err, qt.ErrorMatches, "put settings/tree: store: conflict: found version 1, expected 0")
	v2, err := s.Put(ctx, "settings", "tree", v1, []byte("c"))
	q.Assert(err, qt.IsNil)
	o, err := s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	q.Assert(o, qt.DeepEquals, store.Object{Kind: "settings", Name: "tree", Version: v2, Value: []byte("c")})
	q.Assert(store.IsConflict(s.Delete(ctx, "settings", "tree", v1)), qt.IsTrue)
	q.Assert(s.Delete(ctx, "settings", "tree", v2), qt.IsNil)
	list, version, err := s.List(ctx, "settings")
	q.Assert(err, qt.IsNil)
	q.Assert(list, qt.HasLen, 0)
	q.Assert(version, qt.Equals, v2+1)
}

func TestVMs(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := startPlatform(t)
	vm := platform.VM{ID: "vm-1", Addr: "127.0.0.1:9", Place: "fremantle-hall", Service: "fitting-diary", Slots: 2, State: platform.Live}
	p.PutVM(vm)
	list, err := s.VMs(ctx)
	q.Assert(err, qt.IsNil)
	q.Assert(list, qt.DeepEquals, []store.VM{store.VM(vm)})
}
