package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// A configuration has a route type that this release doesn't know. Its route is
// served, each request to one target only even where that target fails it: what
// the word means may not bear a second run.
func TestUnknownRouteType(t *testing.T) {
	tests := []struct {
		kind string
		runs int
	}{
		{"upload", 1}, {"something_new", 1}, {"idempotent", 2},
	}
	for _, tt := range tests {
		t.Run(tt.kind, func(t *testing.T) {
			w := newWorld(t, site{targets: 3, kind: tt.kind})
			e := w.entry("a").settled()
			for n := range 40 { // fills the retry budget
				w.c.Assert(e.call("POST", "/a/"+fmt.Sprint(n), "body").status, qt.Equals, http.StatusOK)
			}
			for _, k := range w.workers {
				k.Fail(func(*http.Request) worker.Fault { return worker.Fault{Lose: true} })
			}
			a := e.call("POST", "/a/x", "body")
			w.c.Assert(a.status, qt.Equals, http.StatusBadGateway)
			w.c.Assert(w.runs(a.id), qt.Equals, tt.runs)
		})
	}
}

// Another writer leaves records among the targets', some of which can't be read
// at all. The targets' own records hold, in the list of a start and in watches,
// and a target whose record is written over gets nothing until it writes again.
func TestRecordsOfOtherWriters(t *testing.T) {
	w := newWorld(t, site{targets: 2})
	others := []any{
		"?", 7, nil,
		[]int{1},
		map[string]any{},
		map[string]any{"address": 7},
		map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "gowns", "concurrency": 2}, "status": map[string]any{"state": "resting"}},
		map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "nowhere", "concurrency": 2}, "status": map[string]any{"state": "ready"}},
	}
	leave := func(round string) {
		for i, o := range others {
			w.store.Put("servers", fmt.Sprint("other-", round, i), o)
		}
	}
	leave("list")
	e := w.entry("a").settled()
	w.c.Assert(e.size("gowns"), qt.Equals, 2)
	leave("watch")
	w.store.Put("servers", w.workers[0].ID, "?")
	w.until("only the sound record counts", func() bool { return !e.hasTarget(w.workers[0].ID) })
	w.c.Assert(e.size("gowns"), qt.Equals, 1)
	w.record(w.workers[0], "gowns", "ready")
	w.until("both targets", func() bool { return e.size("gowns") == 2 })
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
}

// Records that can't be read are read again with each list. There is one line
// about each of them a minute, and few a second about all, whatever their number.
func TestLinesAboutUnreadableRecords(t *testing.T) {
	h := memory.New()
	r := newRefusals(&log.Logger{Handler: h})
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		r.note(now, "servers", "other", errors.New("bad"))
	}
	qt.Assert(t, h.Entries, qt.HasLen, 1)
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		r.note(now, "servers", fmt.Sprint(i), errors.New("bad"))
	}
	qt.Assert(t, len(h.Entries) <= 1+refusedBurst+10*refusedLines+1, qt.IsTrue, qt.Commentf("%d lines", len(h.Entries)))
}

// A request crashes the same target three times, which starts again under its
// old id each time. It counts as three crashed targets: it is sent to none any
// more.
func TestCrashesOfOneTargetThatStartsAgain(t *testing.T) {
	w := newWorld(t, site{targets: 1, attempts: 1})
	e := w.entry("a").settled()
	k := w.workers[0]
	k.Fail(func(r *http.Request) worker.Fault { return worker.Fault{Lose: r.URL.Path == "/a/poison"} })
	for range crashLimit {
		e.call("GET", "/a/poison", "same")
		w.born++
		w.record(k, "gowns", "ready")
		time.Sleep(1200 * time.Millisecond) // until the new record is known
	}
	for range 3 {
		w.c.Assert(e.call("GET", "/a/poison", "same").status, qt.Equals, http.StatusServiceUnavailable)
	}
	w.c.Assert(len(k.Runs()) <= crashLimit, qt.IsTrue, qt.Commentf("%d runs", len(k.Runs())))
}
