package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

// An entry stops while a request runs and callers still have its address. It must report
// not ready, finish the running request, serve new ones until callers no longer use its
// address, and exit within its grace period.
func TestGracefulStop(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2, routeType: "non_idempotent"})
	e := w.startEntry("a").waitReady()
	for _, k := range w.workers {
		k.SetServiceTime(600 * time.Millisecond)
	}
	answered := make(chan callResult, 1)
	go func() { answered <- e.callWith(t.Context(), "running", "POST", "/a/x", "veil") }()
	w.waitFor("the run", func() bool { return w.runs("running") == 1 })
	began := time.Now()
	e.stop()
	w.waitFor("not ready", func() bool {
		rec := httptest.NewRecorder()
		e.auxHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/readiness", nil))
		return rec.Code == http.StatusServiceUnavailable
	})
	w.c.Assert(e.callWith(t.Context(), "late", "POST", "/a/x", "veil").status, qt.Equals, http.StatusOK)
	w.c.Assert((<-answered).status, qt.Equals, http.StatusOK)
	w.c.Assert(<-e.done, qt.IsNil)
	w.c.Assert(time.Since(began) < 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	w.c.Assert(w.store.Names("entries"), qt.HasLen, 0)
}

// The owner of a host dies without notice. Within two seconds the directory must send
// callers to another entry.
func TestDeadEntryLeavesTheDirectory(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	entries := []*entry{w.startEntry("a").waitReady(), w.startEntry("b").waitReady()}
	w.waitFor("both live", func() bool {
		return len(entries[0].view.Load().live) == 2 && len(entries[1].view.Load().live) == 2
	})
	addresses := entries[0].view.Load().callerAddresses("veil.example", "metro", entries[0].self)
	dead, other := entries[0], entries[1]
	if addresses[0] == other.self.CallerAddress {
		dead, other = other, dead
	}
	dead.relay.Close()
	began := time.Now()
	w.waitFor("callers are sent to the other entry", func() bool {
		return other.view.Load().callerAddresses("veil.example", "metro", other.self)[0] == other.self.CallerAddress
	})
	w.c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// The grace period of a stop ends while a request waits for its target. The caller must get
// an error response and not just a closed connection.
func TestStopRespondsToUnfinishedRequests(t *testing.T) {
	tests := []struct {
		name  string
		route worldConfig
	}{
		{"idempotent", worldConfig{targets: 1, timeout: "8s"}},
		{"once", worldConfig{targets: 1, timeout: "8s", routeType: "non_idempotent"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, tt.route)
			e := w.startEntry("a").waitReady()
			w.workers[0].SetFaults(func(*http.Request) worker.Fault { return worker.Fault{NoResponse: true} })
			answers := make(chan callResult, 1)
			go func() { answers <- e.callWith(context.Background(), "q-held", "POST", "/a/x", "b") }()
			w.waitFor("the request is at its target", func() bool { return w.runs("q-held") == 1 })
			e.stop()
			w.c.Assert(<-e.done, qt.IsNil)
			select {
			case a := <-answers:
				w.c.Assert(a.err, qt.IsNil)
				w.c.Assert(a.status, qt.Equals, http.StatusGatewayTimeout)
			case <-time.After(250 * time.Millisecond):
				w.c.Fatal("the gateway has stopped, and the caller got no response")
			}
		})
	}
}
