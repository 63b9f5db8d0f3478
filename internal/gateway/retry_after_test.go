package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// A target refuses a request and says for how long it wants nothing, and the entry goes
// on sending to it.
func TestRetryAfterOfATarget(t *testing.T) {
	const (
		// heedAfter is how long after the refusal the bound begins to hold.
		heedAfter = 500 * time.Millisecond
		most      = 2 // requests from then to the end of the time
		objective = time.Second
	)
	tests := []struct {
		name   string
		after  string
		hold   time.Duration
		others int // targets that are well
	}{
		{"no other target", "3", 3 * time.Second, 0},
		{"no other target, a fraction", "2.25", 2250 * time.Millisecond, 0},
		{"beside a sound one", "3", 3 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, site{targets: 1 + tt.others})
			e := w.entry("a").settled()
			k := w.workers[0]
			k.Fail(func(*http.Request) worker.Fault { return worker.Fault{Shed: true, After: tt.after} })
			w.until("a refusal", func() bool {
				e.call("GET", "/a/x", "")
				return len(k.Sheds()) > 0
			})
			first := k.Sheds()[0].At
			for time.Since(first) < tt.hold {
				left := tt.hold - time.Since(first)
				a := e.call("GET", "/a/x", "")
				w.c.Assert(a.err, qt.IsNil)
				if left <= objective {
					continue // it may wait for the end of the time
				}
				if tt.others > 0 {
					w.c.Assert(a.status, qt.Equals, http.StatusOK)
					continue
				}
				w.c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
				w.c.Assert(a.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))
				retry, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				w.c.Assert(err, qt.IsNil)
				back := time.Duration(retry * float64(time.Second))
				w.c.Assert(time.Since(first)+back >= tt.hold, qt.IsTrue, qt.Commentf("told to be back after %v", back))
				time.Sleep(10 * time.Millisecond)
			}
			n := 0
			for _, s := range k.Sheds() {
				if d := s.At.Sub(first); d >= heedAfter && d < tt.hold {
					n++
				}
			}
			w.c.Assert(n <= most, qt.IsTrue, qt.Commentf("%d requests", n))
			k.Fail(nil)
			w.until("it is used again", func() bool {
				e.call("GET", "/a/x", "")
				return len(k.Runs()) > 0
			})
		})
	}
}
