package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// A route has a type that this release doesn't know. Requests are served, but each is sent to one
// target only, also if that target fails: they may not be safe to run twice.
func TestUnknownRouteType(t *testing.T) {
	tests := []struct {
		kind string
		runs int
	}{
		{"upload", 1}, {"something_new", 1}, {"idempotent", 2},
	}
	for _, tt := range tests {
		t.Run(tt.kind, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 3, routeType: tt.kind, attempts: 2})
			e := w.startEntry("a").waitReady()
			for n := range 40 { // fills the retry budget
				w.c.Assert(e.call("POST", "/a/"+fmt.Sprint(n), "body").status, qt.Equals, http.StatusOK)
			}
			for _, k := range w.workers {
				k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{LoseResponse: true} })
			}
			a := e.call("POST", "/a/x", "body")
			w.c.Assert(a.status, qt.Equals, http.StatusBadGateway)
			w.c.Assert(w.runs(a.id), qt.Equals, tt.runs)
		})
	}
}

// Another writer adds records to those of the targets, some of which can't be decoded. The targets'
// own records stay in effect, both in the first list and in watches. A target whose record is
// overwritten gets no requests until it writes its record again.
func TestRecordsOfOtherWriters(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	others := []any{
		"?", 7, nil,
		[]int{1},
		map[string]any{},
		map[string]any{"address": 7},
		map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "gowns", "concurrency": 2}, "status": map[string]any{"state": "resting"}},
		map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "nowhere", "concurrency": 2}, "status": map[string]any{"state": "ready"}},
	}
	write := func(round string) {
		for i, o := range others {
			w.store.Put("servers", fmt.Sprint("other-", round, i), o)
		}
	}
	write("list")
	e := w.startEntry("a").waitReady()
	w.c.Assert(e.targetCount("gowns"), qt.Equals, 2)
	write("watch")
	w.store.Put("servers", w.workers[0].ID, "?")
	w.waitFor("only the target with a valid record", func() bool { return !e.hasTarget(w.workers[0].ID) })
	w.c.Assert(e.targetCount("gowns"), qt.Equals, 1)
	w.writeTarget(w.workers[0], "gowns", "ready")
	w.waitFor("both targets", func() bool { return e.targetCount("gowns") == 2 })
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
}

// A request crashes the same target three times, and the target restarts with the same ID each
// time. That counts as three crashes, so the request must be sent to no target any more.
func TestCrashesOfOneTargetThatStartsAgain(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, attempts: 1})
	e := w.startEntry("a").waitReady()
	k := w.workers[0]
	k.OnCrash = k.Close
	k.SetFaults(crashOnPath)
	for range crashLimit {
		e.call("GET", crashPath, "same")
		time.Sleep(replacementDelay)
		w.c.Assert(k.Restart(), qt.IsNil)
		w.targetStart++
		w.writeTarget(k, "gowns", "ready")
		time.Sleep(1200 * time.Millisecond) // until the new record is known
	}
	for range 3 {
		w.c.Assert(e.call("GET", crashPath, "same").status, qt.Equals, http.StatusServiceUnavailable)
	}
	w.c.Assert(len(k.Runs()) <= crashLimit, qt.IsTrue, qt.Commentf("%d runs", len(k.Runs())))
}
