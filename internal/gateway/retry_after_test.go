package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// A target refuses a request with a Retry-After header. The entry must send it hardly any
// requests for that time, and pass a Retry-After on to callers if no other target is left.
func TestRetryAfterOfATarget(t *testing.T) {
	const (
		// heedAfter is how long after the refusal the entry must observe the pause.
		heedAfter   = 500 * time.Millisecond
		maxRequests = 2           // after heedAfter, until the pause ends
		objective   = time.Second // the route's target latency, see world.configure
	)
	tests := []struct {
		name   string
		after  string
		hold   time.Duration
		others int // healthy targets
	}{
		{"no other target", "3", 3 * time.Second, 0},
		{"no other target, a fraction", "2.25", 2250 * time.Millisecond, 0},
		{"beside a sound one", "3", 3 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 1 + tt.others})
			e := w.startEntry("a").waitReady()
			k := w.workers[0]
			k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{Shed: true, RetryAfter: tt.after} })
			w.waitFor("a refusal", func() bool {
				e.call("GET", "/a/x", "")
				return len(k.Refusals()) > 0
			})
			first := k.Refusals()[0].StartedAt
			for time.Since(first) < tt.hold {
				left := tt.hold - time.Since(first)
				a := e.call("GET", "/a/x", "")
				w.c.Assert(a.err, qt.IsNil)
				if left <= objective {
					continue // the request may wait until the pause ends
				}
				if tt.others > 0 {
					w.c.Assert(a.status, qt.Equals, http.StatusOK)
					continue
				}
				w.c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
				w.c.Assert(a.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))
				retry, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				w.c.Assert(err, qt.IsNil)
				retryAfter := time.Duration(retry * float64(time.Second))
				w.c.Assert(time.Since(first)+retryAfter >= tt.hold, qt.IsTrue, qt.Commentf("Retry-After is %v", retryAfter))
				time.Sleep(10 * time.Millisecond)
			}
			n := 0
			for _, s := range k.Refusals() {
				if d := s.StartedAt.Sub(first); d >= heedAfter && d < tt.hold {
					n++
				}
			}
			w.c.Assert(n <= maxRequests, qt.IsTrue, qt.Commentf("%d requests", n))
			k.SetFaults(nil)
			w.waitFor("it is used again", func() bool {
				e.call("GET", "/a/x", "")
				return len(k.Runs()) > 0
			})
		})
	}
}
