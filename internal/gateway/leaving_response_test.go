package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// leaveCase is an event after a target has announced in a response that it is leaving.
type leaveCase struct {
	name  string
	begin func(w *world, e *entry)
}

// A target announces in a response that it is leaving, but the store does not: it does not
// respond, or the target's record still says ready. The entry must stop using the target
// within the bound all the same.
func TestLeavingByAResponse(t *testing.T) {
	checkLeaving(t, []leaveCase{
		{"store silent", func(w *world, _ *entry) {
			w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Silent: true} })
		}},
		{"record goes on saying ready", func(w *world, _ *entry) {
			w.workers[0].Slots = 9
			w.writeTarget(w.workers[0], "gowns", "ready")
		}},
	})
}

// A target announces in a response that it is leaving. Then its record or its service is
// removed and comes back. The entry must remember the announcement and send the target no
// requests.
func TestLeavingIsRememberedWithoutRecord(t *testing.T) {
	checkLeaving(t, []leaveCase{
		{"record removed and back", func(w *world, e *entry) {
			w.store.Delete("servers", w.workers[0].ID)
			w.waitFor("the target is gone", func() bool { return !e.hasTarget(w.workers[0].ID) })
			time.Sleep(drainBound)
			w.writeTarget(w.workers[0], "gowns", "ready")
			w.waitFor("the target is back", func() bool { return e.hasTarget(w.workers[0].ID) })
		}},
		{"service dropped and back", func(w *world, e *entry) {
			w.version++
			w.store.PutConfig(w.version, []objects.Route{{
				Name: "r-a", Host: "veil.example", Prefix: "/a/", Timeout: "2s", TargetLatency: "1s", Attempts: 3, Service: "veils",
			}}, []string{"veils"})
			w.waitFor("the service dropped", func() bool { return int(e.version()) == w.version })
			time.Sleep(drainBound)
			w.configure(worldConfig{})
			w.waitFor("the service back", func() bool { return int(e.version()) == w.version && e.targetCount("gowns") == 2 })
		}},
	})
}

// checkLeaving checks that a target gets no request later than the bound after it has
// announced that it is leaving.
func checkLeaving(t *testing.T, tests []leaveCase) {
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2})
			for _, k := range w.workers {
				k.Slots = 8
				w.writeTarget(k, "gowns", "ready")
			}
			e := w.startEntry("a").waitReady()
			w.workers[1].SetServiceTime(30 * time.Millisecond) // so that the first one is preferred
			w.workers[0].ProbeLoadOnly()
			w.workers[0].AnnounceLeaving()
			w.waitFor("a response that announces it", func() bool {
				e.call("GET", "/a/x", "")
				s, err := e.Status(t.Context())
				w.c.Assert(err, qt.IsNil)
				return s.Services[0].Targets[0].LeavingFor != nil
			})
			announced := time.Now()
			tt.begin(w, e)
			for end := time.Now().Add(drainBound + time.Second); time.Now().Before(end); {
				w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			}
			for _, r := range w.workers[0].Runs() {
				w.c.Assert(r.StartedAt.Sub(announced) < drainBound, qt.IsTrue, qt.Commentf("%v", r.StartedAt.Sub(announced)))
			}
		})
	}
}

// All targets of a service announce that they are leaving. Requests must be refused at once
// with a Retry-After header. New incarnations at the same addresses must get requests.
func TestAllLeavingByResponses(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	e := w.startEntry("a").waitReady()
	for _, k := range w.workers {
		k.AnnounceLeaving()
	}
	var last callResult
	w.waitFor("both targets have announced that they leave", func() bool {
		last = e.call("GET", "/a/x", "")
		return last.status == http.StatusServiceUnavailable
	})
	w.c.Assert(last.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", last.took))
	retry, err := strconv.ParseFloat(last.header.Get("Retry-After"), 64)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(retry > 0, qt.IsTrue)
	w.targetStart++
	for _, k := range w.workers {
		k.StopLeaving()
		w.writeTarget(k, "gowns", "ready")
	}
	w.waitFor("new incarnations get requests", func() bool { return e.call("GET", "/a/x", "").status == http.StatusOK })
}
