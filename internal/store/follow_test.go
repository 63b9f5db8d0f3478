package store_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/store"
)

// The store has one of several faults while an object is followed. The follower
// must receive the newest value in the end, from the watch or, when the watch
// delivers no events, from the poll.
func TestFollowUnderFaults(t *testing.T) {
	const long, short = time.Hour, 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		poll  time.Duration
		fault platform.Faults // while the second value is written
		after platform.Faults
	}{
		{"none, by watch", long, platform.Faults{}, platform.Faults{}},
		{"silent watch", short, platform.Faults{SilentWatches: true}, platform.Faults{SilentWatches: true}},
		{"down, then up", short, platform.Faults{Down: true}, platform.Faults{}},
		{"slow", short, platform.Faults{Delay: 20 * time.Millisecond}, platform.Faults{Delay: 20 * time.Millisecond}},
		{"flapping", short, platform.Faults{FlapInterval: 30 * time.Millisecond}, platform.Faults{FlapInterval: 30 * time.Millisecond}},
		{"older data, then right", short, platform.Faults{ReadVersion: 1}, platform.Faults{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			p, s, ctx := startPlatform(t)
			version, err := s.Put(ctx, "settings", "tree", 0, []byte("old"))
			q.Assert(err, qt.IsNil)
			got := make(chan string, 64)
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			go func() {
				_ = s.Follow(ctx, store.Follow{
					Kind: "settings", Name: "tree", Poll: c.poll,
					OnChange: func(o store.Object) { got <- string(o.Value) },
				})
			}()
			q.Assert(<-got, qt.Equals, "old")
			waitUntil(q, func() bool { return p.Counts().Watches > 0 })
			p.SetFaults(platform.Faults{SilentWatches: c.fault.SilentWatches, ReadVersion: c.fault.ReadVersion})
			_, err = s.Put(ctx, "settings", "tree", version, []byte("new"))
			q.Assert(err, qt.IsNil)
			p.SetFaults(c.fault)
			if reads := p.Counts().Reads; c.poll == short {
				waitUntil(q, func() bool { return p.Counts().Reads >= reads+2 })
			}
			p.SetFaults(c.after)
			for v := ""; v != "new"; {
				select {
				case v = <-got:
				case <-time.After(5 * time.Second):
					q.Fatal("the new value was not reported in 5 s")
				}
			}
		})
	}
}

// The store restarts from a backup and assigns versions a second time. A watch
// that continues from the version it had would deliver no events; the poll must
// detect the older data.
func TestFollowSeesRollback(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := startPlatform(t)
	one, err := s.Put(ctx, "settings", "tree", 0, []byte("one"))
	q.Assert(err, qt.IsNil)
	two, err := s.Put(ctx, "settings", "tree", one, []byte("two"))
	q.Assert(err, qt.IsNil)
	got := make(chan store.Object, 64)
	go func() {
		_ = s.Follow(ctx, store.Follow{
			Kind: "settings", Name: "tree", Poll: 20 * time.Millisecond,
			OnChange: func(o store.Object) { got <- o },
		})
	}()
	q.Assert((<-got).Version, qt.Equals, two)
	p.Rollback(one)
	q.Assert((<-got).Version, qt.Equals, one)
	q.Assert(s.Delete(ctx, "settings", "tree", one), qt.IsNil)
	q.Assert((<-got).Version, qt.Equals, uint64(0))
}

// A write takes effect and its response is lost. The client must not retry the
// write: the retry would report a conflict with the client's own write.
func TestWriteIsNotRetriedAfterLostResponse(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := startPlatform(t)
	p.SetFaults(platform.Faults{LostResponses: 1})
	_, err := s.Put(ctx, "settings", "tree", 0, []byte("a"))
	q.Assert(store.IsUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
	q.Assert(p.Counts().Writes, qt.Equals, uint64(1))
	o, err := s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	q.Assert(string(o.Value), qt.Equals, "a")
}

func TestReadsRetryDuringOutage(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := startPlatform(t)
	_, err := s.Put(ctx, "settings", "tree", 0, []byte("a"))
	q.Assert(err, qt.IsNil)
	p.SetFaults(platform.Faults{Down: true})
	go func() {
		for p.Counts().Reads < 3 {
			time.Sleep(time.Millisecond)
		}
		p.SetFaults(platform.Faults{})
	}()
	_, err = s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	q.Assert(s.Counts().Retries >= 2, qt.IsTrue)
}

// 300 entries see the store fail at the same instant and retry until it recovers.
// In each second they must make fewer calls than the store can handle. After 15 s
// the calls must be spread out: in each second fewer than one for every two entries.
func TestNoStampede(t *testing.T) {
	const entries, reads = 300, 2000
	q := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var calls [30]int
	for range entries {
		elapsed := time.Duration(0)
		for n := 0; elapsed < time.Duration(len(calls))*time.Second; n++ {
			calls[elapsed/time.Second]++
			elapsed += store.DefaultBackoff.Next(n, r)
		}
	}
	for second, n := range calls {
		q.Assert(n < reads, qt.IsTrue, qt.Commentf("second %d: %d calls", second, n))
	}
	for second, n := range calls[15:] {
		q.Assert(n < entries/2, qt.IsTrue, qt.Commentf("second %d: %d calls", 15+second, n))
	}
}

// Several goroutines of one entry read from a store that fails every call at once.
// Even with a very short backoff, the calls must stay within the entry's rate limit.
func TestRateHoldsDuringOutage(t *testing.T) {
	q := qt.New(t)
	p, _, _ := startPlatform(t)
	p.SetFaults(platform.Faults{Down: true})
	srv := httptest.NewServer(p)
	q.Cleanup(srv.Close)
	s := store.New(store.Config{Addr: srv.URL, Backoff: store.Backoff{Base: time.Millisecond, Cap: time.Millisecond}})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var readers sync.WaitGroup
	for range 8 {
		readers.Go(func() {
			for ctx.Err() == nil {
				_, _ = s.Get(ctx, "settings", "tree")
			}
		})
	}
	readers.Wait()
	q.Assert(p.Counts().Reads <= store.ReadBurst+store.ReadRate, qt.IsTrue, qt.Commentf("%d reads", p.Counts().Reads))
	q.Assert(p.Counts().Reads > 0, qt.IsTrue)
}

func TestBackoffBounds(t *testing.T) {
	q := qt.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	b := store.Backoff{Base: 100 * time.Millisecond, Cap: 5 * time.Second}
	for n, bound := range []time.Duration{100, 200, 400, 800, 1600, 3200, 5000, 5000} {
		for range 100 {
			d := b.Next(n, r)
			q.Assert(d >= bound*time.Millisecond/2 && d <= bound*time.Millisecond, qt.IsTrue, qt.Commentf("%d: %s", n, d))
		}
	}
	q.Assert(b.Next(1000, r) <= b.Cap, qt.IsTrue)
}

func waitUntil(q *qt.C, done func() bool) {
	q.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			q.Fatal("condition not met within 5 s")
		}
	}
}
