package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// strayCalls is how many requests a test of stray bytes sends; every fifth meets them.
const (
	strayCalls    = 30
	strayInterval = 5
)

// sendBesideStrays sends requests to a service in which some targets send stray bytes, and
// checks the promises to their callers. It returns how many were answered with each status.
func sendBesideStrays(w *world, e *entry, method string, fault func(id string) worker.Fault) map[int]int {
	var n atomic.Int64
	for _, k := range w.workers {
		k.SetFaults(func(r *http.Request) worker.Fault {
			if r.URL.Path == "/health" || n.Add(1)%strayInterval != 0 {
				return worker.Fault{}
			}
			return fault(r.Header.Get("Plumpitch-Request-Id"))
		})
	}
	statuses := make(map[int]int)
	for range strayCalls {
		a := e.call(method, "/a/book", "veil")
		w.c.Assert(a.err, qt.IsNil)
		statuses[a.status]++
		runs := w.runs(a.id)
		if a.status == http.StatusOK {
			w.c.Check(a.body, qt.Equals, "ran /a/book veil")
		}
		if method == http.MethodPost {
			w.c.Check(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", a.id, runs))
			w.c.Check(impliesNotRun(a.status) && runs > 0, qt.IsFalse, qt.Commentf("%s: status %d, ran", a.id, a.status))
		}
	}
	return statuses
}

// Guards against requests that are refused, sent again or answered by bytes that carry no ID of theirs.
func TestResponseWithoutOwnID(t *testing.T) {
	tests := []struct {
		name  string
		bytes func(id string) string
	}{
		{"503, no ID", func(string) string { return worker.StrayRefusal() }},
		{"429, no ID", func(string) string { return worker.StrayRateRefusal() }},
		{"421, no ID", func(string) string { return worker.StrayMisdirected() }},
		{"503, two IDs", func(id string) string { return worker.StrayRefusal(id, "another") }},
		{"503, the same ID twice", func(id string) string { return worker.StrayRefusal(id, id) }},
		{"503, two IDs in a line", func(id string) string { return worker.StrayRefusal(id + ", another") }},
		{"503, another ID", func(string) string { return worker.StrayRefusal("another") }},
		{"503, empty ID", func(string) string { return worker.StrayRefusal("") }},
		{"200, no ID", func(string) string { return worker.StraySuccess() }},
		{"200, two IDs", func(id string) string { return worker.StraySuccess(id, "another") }},
		{"500, no ID", func(string) string { return worker.StrayFailure() }},
		{"report, no ID", func(string) string { return worker.StrayReport() }},
		{"response to a health check", func(string) string { return worker.StrayHealth("i-0") }},
		{"no response", func(string) string { return "no response\r\n\r\n" }},
	}
	kinds := []struct{ method, routeType string }{{"POST", "non_idempotent"}, {"GET", "idempotent"}}
	for _, tt := range tests {
		for _, kind := range kinds {
			t.Run(tt.name+", "+kind.routeType, func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, worldConfig{targets: 2, routeType: kind.routeType})
				e := w.startEntry("a").waitReady()
				fillRetryBudget(e)
				body := func(id string) worker.Fault { return worker.Fault{Stray: tt.bytes(id)} }
				statuses := sendBesideStrays(w, e, kind.method, body)
				w.c.Check(statuses[http.StatusInternalServerError], qt.Equals, 0, qt.Commentf("%v", statuses))
				w.c.Check(statuses[http.StatusOK] >= strayCalls-strayCalls/strayInterval, qt.IsTrue, qt.Commentf("%v", statuses))
			})
		}
	}
}

// Guards against a refusal or a success whose head is completed by the head of the next response.
func TestHeadOfTwoResponses(t *testing.T) {
	tests := []struct {
		name  string
		fault worker.Fault
	}{
		{"refusal, then a success", worker.Fault{Stray: worker.StrayBeginning()}},
		{"refusal, then a failure", worker.Fault{Stray: worker.StrayBeginning(), Fail: true}},
		{"refusal, then an unsigned success", worker.Fault{Stray: worker.StrayBeginning(), Unsigned: true}},
		{"refusal, then a folded line", worker.Fault{Stray: worker.StrayBeginning() + "\r\n ", Unsigned: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			fillRetryBudget(e)
			sendBesideStrays(w, e, http.MethodPost, func(string) worker.Fault { return tt.fault })
		})
	}
	t.Run("success, then a failure", func(t *testing.T) {
		t.Parallel()
		w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
		e := w.startEntry("a").waitReady()
		w.workers[0].SetFaults(func(r *http.Request) worker.Fault {
			if r.URL.Path == "/health" {
				return worker.Fault{}
			}
			return worker.Fault{Stray: worker.StraySuccessBeginning(), Fail: true}
		})
		w.c.Assert(e.call("POST", "/a/book", "veil").status, qt.Equals, http.StatusBadGateway)
	})
}

// Guards against a promise that a request didn't run, taken from a response that also says that it ran.
func TestRefusalThatAlsoAnswers(t *testing.T) {
	signed := "Plumpitch-Not-Executed: 1\r\nPlumpitch-Response-Signature: stray\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, status string
	}{
		{"signed", "503 Service Unavailable"},
		{"signed 421", "421 Misdirected Request"},
		{"signed success", "200 OK"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			fillRetryBudget(e)
			sendBesideStrays(w, e, http.MethodPost, func(id string) worker.Fault {
				return worker.Fault{Stray: "HTTP/1.1 " + tt.status + "\r\nPlumpitch-Request-Id: " + id + "\r\n" + signed}
			})
		})
	}
}

// Guards against honest refusals that become errors.
func TestOwnRefusalStaysRefusal(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(id string) worker.Fault
		status int // if all targets respond so
	}{
		{"503", func(string) worker.Fault { return worker.Fault{Shed: true} }, http.StatusServiceUnavailable},
		{"421", func(string) worker.Fault { return worker.Fault{ReplacedBy: "i-other"} }, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 2, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			fillRetryBudget(e)
			var first atomic.Bool
			all := false
			for _, k := range w.workers {
				k.SetFaults(func(r *http.Request) worker.Fault {
					if r.URL.Path == "/health" || !all && !first.CompareAndSwap(false, true) {
						return worker.Fault{}
					}
					return tt.fault(r.Header.Get("Plumpitch-Request-Id"))
				})
			}
			w.c.Assert(e.call("POST", "/a/book", "veil").status, qt.Equals, http.StatusOK)
			time.Sleep(10 * time.Millisecond)
			for _, k := range w.workers {
				k.SetFaults(func(r *http.Request) worker.Fault {
					if r.URL.Path == "/health" {
						return worker.Fault{}
					}
					return tt.fault(r.Header.Get("Plumpitch-Request-Id"))
				})
			}
			a := e.call("POST", "/a/book", "veil")
			w.c.Assert(a.status, qt.Equals, tt.status)
			w.c.Assert(w.runs(a.id), qt.Equals, 0)
		})
	}
}
