package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

func TestRequestIsServed(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	e := w.startEntry("a").waitReady()
	a := e.call("POST", "/a/x?y=1", "veil")
	w.c.Assert(a.err, qt.IsNil)
	w.c.Assert(a.status, qt.Equals, http.StatusOK)
	w.c.Assert(a.body, qt.Equals, "ran /a/x veil")
	w.c.Assert(a.header.Get("Plumpitch-Request-Id"), qt.Equals, a.id)
	w.c.Assert(a.header.Get("Plumpitch-Response-Signature"), qt.Not(qt.Equals), "")
	w.c.Assert(a.header.Get("Plumpitch-Server-Load"), qt.Equals, "")
	w.c.Assert(w.runs(a.id), qt.Equals, 1)
}

// A non-idempotent request must run at most once, and its caller must be told that it did
// not run only if that is certain. Each case is a fault of the first target; the second
// target is healthy. A second run would duplicate a booking, and a refusal after a run
// would make the caller book again.
func TestFirstTargetFails(t *testing.T) {
	tests := []struct {
		name   string
		kind   string
		fault  worker.Fault
		status int
		runs   int
	}{
		{"sheds, may run once", "non_idempotent", worker.Fault{Shed: true}, 200, 1},
		{"loses the answer, may run once", "non_idempotent", worker.Fault{LoseResponse: true}, 502, 1},
		{"cuts the answer, may run once", "non_idempotent", worker.Fault{Cut: true}, 502, 1},
		{"answers without signature, may run once", "non_idempotent", worker.Fault{Unsigned: true}, 502, 1},
		{"answers another request, may run once", "non_idempotent", worker.Fault{WrongRequestID: true}, 502, 1},
		{"fails another request, may run once", "non_idempotent", worker.Fault{WrongRequestID: true, Fail: true}, 502, 1},
		{"says 503 after the run, may run once", "non_idempotent", worker.Fault{Plain503: true}, 502, 1},
		{"fails, may run once", "non_idempotent", worker.Fault{Fail: true}, 500, 1},
		{"has the address of another target", "non_idempotent", worker.Fault{ReplacedBy: "i-other"}, 200, 1},
		{"sends no length, may run once", "non_idempotent", worker.Fault{NoLength: true}, 200, 1},
		{"never answers, may run once", "non_idempotent", worker.Fault{NoResponse: true}, 504, 1},
		{"sheds", "idempotent", worker.Fault{Shed: true}, 200, 1},
		{"loses the answer", "idempotent", worker.Fault{LoseResponse: true}, 200, 2},
		{"cuts the answer", "idempotent", worker.Fault{Cut: true}, 200, 2},
		{"answers another request", "idempotent", worker.Fault{WrongRequestID: true}, 200, 2},
		{"fails", "idempotent", worker.Fault{Fail: true}, 200, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 2, routeType: tt.kind, timeout: "600ms"})
			e := w.startEntry("a").waitReady()
			fillRetryBudget(e)
			var first atomic.Bool
			for _, k := range w.workers {
				k.SetFaults(func(r *http.Request) worker.Fault {
					if r.URL.Path != "/health" && first.CompareAndSwap(false, true) {
						return tt.fault
					}
					return worker.Fault{}
				})
			}
			a := e.call("POST", "/a/book", "veil")
			w.c.Assert(a.err, qt.IsNil)
			w.c.Assert(a.status, qt.Equals, tt.status)
			w.c.Assert(w.runs(a.id), qt.Equals, tt.runs)
			if a.status == http.StatusOK {
				w.c.Assert(a.body, qt.Equals, "ran /a/book veil")
			}
		})
	}
}

// fillRetryBudget makes enough requests for the retry budget to allow a retry.
func fillRetryBudget(e *entry) {
	for range 30 {
		e.call("GET", "/a/earn", "")
	}
}

// A target sends a second response to an earlier request. It arrives on the connection
// when the response to the next request is due, and differs only by its request ID. No
// caller may receive it.
func TestExtraResponseIsDiscarded(t *testing.T) {
	for _, delay := range []time.Duration{0, 3 * time.Millisecond} {
		w := newWorld(t, worldConfig{targets: 1})
		e := w.startEntry("a").waitReady()
		w.workers[0].SetFaults(func(r *http.Request) worker.Fault {
			return worker.Fault{DuplicateResponse: r.URL.Path != "/health", DuplicateDelay: delay}
		})
		for range 40 {
			a := e.call("GET", "/a/x", "")
			if a.err != nil || a.status != http.StatusOK {
				continue
			}
			w.c.Assert(a.header.Get("Plumpitch-Request-Id"), qt.Equals, a.id)
		}
	}
}

// A target never responds. The caller gets a timeout at the route's timeout, even if its
// own deadline is later.
func TestRouteTimeout(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent", timeout: "300ms"})
	e := w.startEntry("a").waitReady()
	w.workers[0].SetFaults(func(r *http.Request) worker.Fault { return worker.Fault{NoResponse: r.URL.Path != "/health"} })
	a := e.call("POST", "/a/x", "veil")
	w.c.Assert(a.status, qt.Equals, http.StatusGatewayTimeout)
	w.c.Assert(a.took > 250*time.Millisecond && a.took < 700*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))
}

// A caller closes its connection while the target processes its request. The connection
// to the target must be closed too, or the request would keep its slot occupied.
func TestCallerDisconnectClosesTargetConnection(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	w.workers[0].SetServiceTime(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		w.waitFor("the run", func() bool { return len(w.workers[0].Runs()) == 1 })
		cancel()
	}()
	a := e.callWith(ctx, "left", "GET", "/a/x", "")
	w.c.Assert(a.err, qt.IsNotNil)
	w.waitFor("the end of the target's connection", func() bool { return !w.workers[0].Runs()[0].CallerLeftAt.IsZero() })
	run := w.workers[0].Runs()[0]
	w.c.Assert(run.CallerLeftAt.Sub(run.StartedAt) < time.Second, qt.IsTrue)
}

func TestNoRoute(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	w.c.Assert(e.call("GET", "/b/x", "").status, qt.Equals, http.StatusNotFound)
}

// A caller closes its connection before its request is dispatched, so the request must not
// be sent to a target. callerClosed must detect the close, and must not take an open
// connection with unread bytes for a closed one.
func TestCallerGoneBeforeDispatch(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	served, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer served.Close()
	r := httptest.NewRequest("GET", "/a/x", nil)
	r = r.WithContext(withCallerConn(r.Context(), served))
	c.Assert(callerClosed(r), qt.IsFalse)
	_, err = caller.Write([]byte("GET /a/next"))
	c.Assert(err, qt.IsNil)
	c.Assert(callerClosed(r), qt.IsFalse)
	_, err = io.ReadFull(served, make([]byte, len("GET /a/next")))
	c.Assert(err, qt.IsNil)
	caller.Close()
	for end := time.Now().Add(waitLimit); !callerClosed(r); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// A request header exceeds the configured limit. The caller gets status 431, and no target
// gets the request.
func TestLongHeader(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	r, err := http.NewRequest("GET", "http://"+e.self.CallerAddress+"/a/x", nil)
	w.c.Assert(err, qt.IsNil)
	r.Host = "veil.example"
	r.Header.Set("X-Long", strings.Repeat("x", e.view.Load().table.Config.Limits.MaxHeaderBytes))
	res, err := http.DefaultClient.Do(r)
	w.c.Assert(err, qt.IsNil)
	res.Body.Close()
	w.c.Assert(res.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	w.c.Assert(w.workers[0].Runs(), qt.HasLen, 0)
}
