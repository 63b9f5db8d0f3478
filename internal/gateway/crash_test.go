package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// A request crashes its targets, but some of its dispatches are refused or misdirected and
// so do not run. These responses must not reset the crash count: the request must still be
// quarantined, and other requests must be served.
func TestCrashesAmongRefusals(t *testing.T) {
	tests := []struct {
		name  string
		every int // one in so many arrivals crashes its target; the others get the fault
		fault worker.Fault
	}{
		{"every second one is refused", 2, worker.Fault{Shed: true}},
		{"two of three are refused", 3, worker.Fault{Shed: true}},
		{"every second one meets another target", 2, worker.Fault{ReplacedBy: "i-other"}},
		{"every second one reaches its deadline", 2, worker.Fault{Late: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var arrived atomic.Int64
			w := newCrashWorld(t, worldConfig{targets: 8}, func(r *http.Request) worker.Fault {
				switch {
				case !strings.HasPrefix(r.URL.Path, crashPath):
					return worker.Fault{}
				case arrived.Add(1)%int64(tt.every) != 0:
					return tt.fault
				}
				return worker.Fault{Crash: true}
			})
			entries := startEntries(w.world, 3)
			for i := range 40 {
				entries[i%len(entries)].call("GET", crashPath, "")
				time.Sleep(60 * time.Millisecond)
			}
			w.c.Assert(w.crashes() <= 2*crashLimit, qt.IsTrue, qt.Commentf("%d crashes", w.crashes()))
			w.c.Assert(entries[0].call("GET", crashPath, "").status, qt.Equals, http.StatusServiceUnavailable)
			w.c.Assert(entries[0].call("GET", "/a/other", "").status, qt.Equals, http.StatusOK)
		})
	}
}

// Entries are replaced one after the other while a request is in quarantine. Each new entry
// must receive the quarantine from the others and refuse the request.
func TestQuarantineOutlivesRestarts(t *testing.T) {
	t.Parallel()
	w := newCrashWorld(t, worldConfig{targets: 8, attempts: 1}, crashOnPath)
	entries := startEntries(w.world, 3)
	for range 2 * crashLimit {
		entries[0].call("GET", crashPath, "")
	}
	w.waitFor("all refuse it", func() bool {
		for _, e := range entries {
			if e.call("GET", crashPath, "").status != http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
	// The first gossip of the quarantine must be over, or the new entries could receive it
	// that way and the transfer at their start would go untested.
	time.Sleep(notifierMinUptime + 2*time.Second)
	before := w.crashes()
	for i, e := range entries {
		e.stop()
		w.c.Assert(<-e.done, qt.IsNil)
		next := w.startEntry(fmt.Sprint("next-", i), entries[(i+1)%len(entries)]).waitReady()
		entries[i] = next
		w.waitFor("it is known to others", func() bool { return len(next.view.Load().live) == len(entries) })
		time.Sleep(notifierMinUptime)
		w.c.Assert(next.call("GET", crashPath, "").status, qt.Equals, http.StatusServiceUnavailable)
	}
	w.c.Assert(w.crashes(), qt.Equals, before)
}

// All targets of a service close their connections for a short time without crashing.
// Requests made in that time must not stay quarantined: they must be served once the
// targets are healthy again.
func TestLostAnswersCondemnNoRequest(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldConfig{targets: 6})
	e := w.startEntry("a").waitReady()
	for _, k := range w.workers {
		k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{LoseResponse: true} })
	}
	for range 20 {
		e.call("GET", "/a/popular", "")
	}
	for _, k := range w.workers {
		k.SetFaults(nil)
	}
	w.waitFor("other requests are served", func() bool { return e.call("GET", "/a/other", "").status == http.StatusOK })
	w.waitFor("it is served", func() bool { return e.call("GET", "/a/popular", "").status == http.StatusOK })
}
