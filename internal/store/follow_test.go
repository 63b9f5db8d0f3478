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

// The store fails in one of its ways while an object is followed. The follower
// hears of the newest value in the end, from the watch or from the poll that
// stands in for a watch which says nothing.
func TestFollowUnderFaults(t *testing.T) {
	const long, short = time.Hour, 20 * time.Millisecond
	for _, c := range []struct {
		name  string
		poll  time.Duration
		fault platform.Faults // while the second value is written
		after platform.Faults
	}{
		{"none, by watch", long, platform.Faults{}, platform.Faults{}},
		{"silent watch", short, platform.Faults{Silent: true}, platform.Faults{Silent: true}},
		{"down, then up", short, platform.Faults{Down: true}, platform.Faults{}},
		{"slow", short, platform.Faults{Delay: 20 * time.Millisecond}, platform.Faults{Delay: 20 * time.Millisecond}},
		{"flapping", short, platform.Faults{Flap: 30 * time.Millisecond}, platform.Faults{Flap: 30 * time.Millisecond}},
		{"older data, then right", short, platform.Faults{Older: 1}, platform.Faults{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := qt.New(t)
			p, s, ctx := site(t)
			version, err := s.Put(ctx, "settings", "tree", 0, []byte("old"))
			q.Assert(err, qt.IsNil)
			got := make(chan string, 64)
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			go func() {
				_ = s.Follow(ctx, store.Follow{
					Kind: "settings", Name: "tree", Poll: c.poll,
					Took: func(o store.Object) { got <- string(o.Value) },
				})
			}()
			q.Assert(<-got, qt.Equals, "old")
			waitUntil(q, func() bool { return p.Counts().Watches > 0 })
			p.SetFaults(platform.Faults{Silent: c.fault.Silent, Older: c.fault.Older})
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
					q.Fatal("the new value never came")
				}
			}
		})
	}
}

// The store restarts from a backup and uses versions again. A watch that goes
// on from the version it had would never speak; the poll sees the older data.
func TestFollowSeesRollback(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := site(t)
	one, err := s.Put(ctx, "settings", "tree", 0, []byte("one"))
	q.Assert(err, qt.IsNil)
	two, err := s.Put(ctx, "settings", "tree", one, []byte("two"))
	q.Assert(err, qt.IsNil)
	got := make(chan store.Object, 64)
	go func() {
		_ = s.Follow(ctx, store.Follow{
			Kind: "settings", Name: "tree", Poll: 20 * time.Millisecond,
			Took: func(o store.Object) { got <- o },
		})
	}()
	q.Assert((<-got).Version, qt.Equals, two)
	p.Rollback(one)
	q.Assert((<-got).Version, qt.Equals, one)
	q.Assert(s.Delete(ctx, "settings", "tree", one), qt.IsNil)
	q.Assert((<-got).Version, qt.Equals, uint64(0))
}

// The write takes effect and its answer is lost. The client must not try again
// by itself: it would report a conflict with its own write.
func TestLostAnswer(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := site(t)
	p.SetFaults(platform.Faults{Lose: 1})
	_, err := s.Put(ctx, "settings", "tree", 0, []byte("a"))
	q.Assert(store.IsUnavailable(err), qt.IsTrue, qt.Commentf("%v", err))
	q.Assert(p.Counts().Writes, qt.Equals, uint64(1))
	o, err := s.Get(ctx, "settings", "tree")
	q.Assert(err, qt.IsNil)
	q.Assert(string(o.Value), qt.Equals, "a")
}

func TestReadsWaitOutAnOutage(t *testing.T) {
	q := qt.New(t)
	p, s, ctx := site(t)
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

// 300 entries saw the store fail at the same instant and call it until it is
// back. Counted are their calls in each second after the return: no second may
// hold more than the store takes, and none may stand out as a wave.
func TestNoStampede(t *testing.T) {
	const entries, reads = 300, 2000
	q := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	var calls [30]int
	for range entries {
		at := time.Duration(0)
		for n := 0; at < time.Duration(len(calls))*time.Second; n++ {
			calls[at/time.Second]++
			at += store.DefaultBackoff.Next(n, r)
		}
	}
	for second, n := range calls {
		q.Assert(n < reads, qt.IsTrue, qt.Commentf("second %d: %d calls", second, n))
	}
	for second, n := range calls[15:] {
		q.Assert(n < entries/2, qt.IsTrue, qt.Commentf("second %d: %d calls", 15+second, n))
	}
}

// Several workers of one entry read from a store that answers at once with a
// failure. However short their backoff, the calls keep to the entry's rate.
func TestRateHoldsDuringOutage(t *testing.T) {
	q := qt.New(t)
	p, _, _ := site(t)
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
	for n, whole := range []time.Duration{100, 200, 400, 800, 1600, 3200, 5000, 5000} {
		for range 100 {
			d := b.Next(n, r)
			q.Assert(d >= whole*time.Millisecond/2 && d <= whole*time.Millisecond, qt.IsTrue, qt.Commentf("%d: %s", n, d))
		}
	}
	q.Assert(b.Next(1000, r) <= b.Cap, qt.IsTrue)
}

func waitUntil(q *qt.C, done func() bool) {
	q.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			q.Fatal("condition not met in 5 s")
		}
	}
}
