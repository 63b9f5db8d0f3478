package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// limitDelay is the time within which all entries must obey a limit that a target has
	// reported.
	limitDelay  = 500 * time.Millisecond
	limitWindow = 4 * time.Second
)

// maxLimited returns how many requests a target with this limit may get within
// limitWindow: half more than the limit, and five.
func maxLimited(rate float64) int { return int(1.5*rate*limitWindow.Seconds() + 5) }

// A target reports a limit. If each entry applied it for itself, the target would get a
// multiple of it. All entries together must keep to it as maxLimited allows, still use the
// target, and refuse requests only if all targets are limited, with a Retry-After header.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	const load = 9 * time.Second
	tests := []struct {
		name    string
		limit   string
		rate    float64
		limited int // of three targets
		entries int
	}{
		{"one of three", "2", 2, 1, 6},
		{"one of three, twelve entries", "2.6", 2.6, 1, 12},
		{"less than one a second", "0.5", 0.5, 1, 6},
		{"all", "2", 2, 3, 5},
		{"many a second", "20", 20, 1, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 3})
			for _, k := range w.workers {
				k.SetServiceTime(5 * time.Millisecond)
				k.Slots = 8
				w.writeTarget(k, "gowns", "ready")
			}
			entries := startEntries(w, tt.entries)
			stop := w.callContinuously(t.Context(), entries, 2)
			time.Sleep(time.Second)
			limitedAt := time.Now()
			for _, k := range w.workers[:tt.limited] {
				k.SetLimit(tt.limit)
			}
			time.Sleep(load)
			replies := stop()
			for i, k := range w.workers[:tt.limited] {
				n := maxRunsWithin(k.Runs(), limitedAt.Add(limitDelay), limitWindow)
				w.c.Check(n <= maxLimited(tt.rate), qt.IsTrue, qt.Commentf("target %d got %d in %v, allowed %d", i, n, limitWindow, maxLimited(tt.rate)))
				used := runsSince(k.Runs(), limitedAt)
				w.c.Check(float64(used) >= tt.rate*load.Seconds()/4, qt.IsTrue, qt.Commentf("target %d got %d in %v", i, used, load))
			}
			for _, a := range replies {
				w.c.Assert(a.err, qt.IsNil)
				if a.status != http.StatusOK {
					w.c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
					w.c.Assert(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			}
			if tt.limited < len(w.workers) {
				w.c.Check(countUnavailable(replies), qt.Equals, 0)
			}
		})
	}
}

// Entries that never reached each other get responses with a limit. Guards against entries of
// which each takes itself for the only one that sends to the target.
func TestLimitHoldsOverIsolatedEntries(t *testing.T) {
	const (
		rate       = 2.0
		entryCount = 6
		load       = 6 * time.Second
	)
	w := newWorld(t, worldConfig{targets: 3})
	entries := startIsolatedEntries(w, entryCount)
	limited := w.workers[0]
	limited.SetLimit(strconv.Itoa(rate))
	time.Sleep(isolationTimeout)
	limitedAt := time.Now()
	stop := w.callContinuously(t.Context(), entries, 2)
	time.Sleep(load)
	replies := stop()
	n := maxRunsWithin(limited.Runs(), limitedAt.Add(2*limitDelay), limitWindow)
	w.c.Check(n <= maxLimited(rate), qt.IsTrue, qt.Commentf("%d requests in %v, allowed %d", n, limitWindow, maxLimited(rate)))
	w.c.Check(countUnavailable(replies), qt.Equals, 0)
}

// A limit ends while entries without a share of it send nothing to the target. They must
// detect the end by load probes, and the target must get its usual part of the requests.
func TestLimitEnds(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	for _, k := range w.workers {
		k.SetServiceTime(5 * time.Millisecond)
		k.Slots = 8
		w.writeTarget(k, "gowns", "ready")
	}
	entries := startEntries(w, 6)
	one, other := w.workers[0], w.workers[1]
	one.SetLimit("0.5")
	stop := w.callContinuously(t.Context(), entries, 2)
	time.Sleep(2 * time.Second)
	one.SetLimit("")
	time.Sleep(2 * time.Second) // the target must be in full use by then
	from := time.Now()
	time.Sleep(time.Second)
	stop()
	n, m := runsSince(one.Runs(), from), runsSince(other.Runs(), from)
	w.c.Assert(2*n > m, qt.IsTrue, qt.Commentf("%d in a second, the other target got %d", n, m))
	for _, e := range entries {
		s, err := e.Status(t.Context())
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(s.Services[0].Targets[0].Limit, qt.IsNil, qt.Commentf("%s", e.self.Name))
	}
}

// callContinuously runs a number of callers at each entry, each with one request after the
// other, until stop is called. stop returns all responses.
func (w *world) callContinuously(ctx context.Context, entries []*entry, callers int) (stop func() []callResult) {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	var mu sync.Mutex
	var replies []callResult
	for i, e := range entries {
		for caller := range callers {
			all.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					a := e.callWith(context.Background(), fmt.Sprint(i, "-", caller, "-", n), "GET", "/a/x", "")
					mu.Lock()
					replies = append(replies, a)
					mu.Unlock()
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	return func() []callResult {
		cancel()
		all.Wait()
		return replies
	}
}
