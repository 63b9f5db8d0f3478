package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// leaveCase is what happens after a target has said in a response that it leaves.
type leaveCase struct {
	name  string
	begin func(w *world, e *entry)
}

// Requests reach a target that has said in a response that it leaves, while the store
// doesn't say so.
func TestLeavingByAResponse(t *testing.T) {
	playLeaving(t, []leaveCase{
		{"store silent", func(w *world, _ *entry) {
			w.store.Fail(func(*http.Request) objects.Fault { return objects.Fault{Silent: true} })
		}},
		{"record goes on saying ready", func(w *world, _ *entry) {
			w.workers[0].Slots = 9
			w.record(w.workers[0], "gowns", "ready")
		}},
	})
}

// What a target has said is forgotten with its record or its service, and requests reach
// it once these are back.
func TestLeavingOutlivesItsRecord(t *testing.T) {
	playLeaving(t, []leaveCase{
		{"record removed and back", func(w *world, e *entry) {
			w.store.Delete("servers", w.workers[0].ID)
			w.until("the target is gone", func() bool { return !e.hasTarget(w.workers[0].ID) })
			time.Sleep(drain)
			w.record(w.workers[0], "gowns", "ready")
			w.until("the target is back", func() bool { return e.hasTarget(w.workers[0].ID) })
		}},
		{"service dropped and back", func(w *world, e *entry) {
			w.version++
			w.store.PutConfig(w.version, []objects.Route{{
				Name: "r-a", Host: "veil.example", Prefix: "/a/", Timeout: "2s", Goal: "1s", Attempts: 3, Service: "veils",
			}}, []string{"veils"})
			w.until("the service dropped", func() bool { return int(e.version()) == w.version })
			time.Sleep(drain)
			w.configure(site{})
			w.until("the service back", func() bool { return int(e.version()) == w.version && e.size("gowns") == 2 })
		}},
	})
}

// playLeaving checks that a target gets no request later than the bound after it has said
// that it leaves.
func playLeaving(t *testing.T, tests []leaveCase) {
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, site{targets: 2})
			for _, k := range w.workers {
				k.Slots = 8
				w.record(k, "gowns", "ready")
			}
			e := w.entry("a").settled()
			w.workers[1].Work(30 * time.Millisecond) // so that the first one is preferred
			w.workers[0].KeepSilent()
			w.workers[0].Leave()
			w.until("a response that says so", func() bool {
				e.call("GET", "/a/x", "")
				s, err := e.Status(t.Context())
				w.c.Assert(err, qt.IsNil)
				return s.Services[0].Targets[0].Leaves != nil
			})
			told := time.Now()
			tt.begin(w, e)
			for end := time.Now().Add(drain + time.Second); time.Now().Before(end); {
				w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			}
			for _, r := range w.workers[0].Runs() {
				w.c.Assert(r.At.Sub(told) < drain, qt.IsTrue, qt.Commentf("%v", r.At.Sub(told)))
			}
		})
	}
}

// All targets of a service say that they leave: requests are refused at once and told
// when to come back. A new target at the address of one that has left is served.
func TestAllLeavingByResponses(t *testing.T) {
	w := newWorld(t, site{targets: 2})
	e := w.entry("a").settled()
	for _, k := range w.workers {
		k.Leave()
	}
	var last reply
	w.until("both have said that they leave", func() bool {
		last = e.call("GET", "/a/x", "")
		return last.status == http.StatusServiceUnavailable
	})
	w.c.Assert(last.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", last.took))
	retry, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(retry > 0, qt.IsTrue)
	w.born++
	for _, k := range w.workers {
		k.Stay()
		w.record(k, "gowns", "ready")
	}
	w.until("new incarnations are served", func() bool { return e.call("GET", "/a/x", "").status == http.StatusOK })
}
