package settings_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
)

func newClientStore(q *qt.C) settings.Store {
	p := httptest.NewServer(platform.New(platform.Config{}))
	q.Cleanup(func() {
		p.CloseClientConnections()
		p.Close()
	})
	unlimited := rate.NewLimiter(rate.Inf, 1)
	return store.New(store.Config{Addr: p.URL, Reads: unlimited, Writes: unlimited})
}

func newFakeStore(*qt.C) settings.Store {
	return &entryStore{fakeStore: &fakeStore{}}
}

// TestStoreContract checks that store.Client and the fake store of these tests
// behave alike.
func TestStoreContract(t *testing.T) {
	for _, c := range []struct {
		name string
		open func(q *qt.C) settings.Store
	}{{"client", newClientStore}, {"fake", newFakeStore}} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			s := c.open(q)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			followed := make(chan store.Object, 1000)
			go func() {
				_ = s.Follow(ctx, store.Follow{
					Kind: "k", Name: "n", Poll: 10 * time.Millisecond,
					OnChange: func(o store.Object) { followed <- o },
				})
			}()
			_, err := s.Get(ctx, "k", "n")
			q.Assert(errors.Is(err, store.ErrNotFound), qt.IsTrue, qt.Commentf("%v", err))
			q.Assert((<-followed).Version, qt.Equals, uint64(0))
			one, err := s.Put(ctx, "k", "n", 0, []byte("one"))
			q.Assert(err, qt.IsNil)
			var conflict *store.ErrConflict
			_, err = s.Put(ctx, "k", "n", 0, []byte("again"))
			q.Assert(errors.As(err, &conflict), qt.IsTrue, qt.Commentf("%v", err))
			q.Assert(conflict.Current, qt.Equals, one)
			two, err := s.Put(ctx, "k", "n", one, []byte("two"))
			q.Assert(err, qt.IsNil)
			q.Assert(two > one, qt.IsTrue)
			o, err := s.Get(ctx, "k", "n")
			q.Assert(err, qt.IsNil)
			q.Assert(o, qt.DeepEquals, store.Object{Kind: "k", Name: "n", Version: two, Value: []byte("two")})
			for o = range followed {
				if o.Version == two {
					break
				}
			}
			q.Assert(string(o.Value), qt.Equals, "two")
			canceled, cancelNow := context.WithCancel(ctx)
			cancelNow()
			_, err = s.Get(canceled, "k", "n")
			q.Assert(store.IsUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
			q.Assert(s.Follow(canceled, store.Follow{Kind: "k", Name: "n", OnChange: func(store.Object) {}}), qt.ErrorIs, context.Canceled)
		})
	}
}
