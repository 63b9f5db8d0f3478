package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/pkg/owner"
)

// startDelegate starts a fake delegate that answers each request with the bytes, and returns its
// address.
func startDelegate(t *testing.T, bytes func(id string) string) owner.Entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for r, err := http.ReadRequest(br); err == nil; r, err = http.ReadRequest(br) {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, bytes(r.Header.Get("Plumpitch-Request-Id")))
				}
			}()
		}
	}()
	return owner.Entry{Name: "delegate", PeerAddress: l.Addr().String()}
}

// passOnOne passes a request on to a delegate.
func passOnOne(e *entry, to owner.Entry) (w *httptest.ResponseRecorder, answered bool) {
	w = httptest.NewRecorder()
	r := e.newRequest(context.Background(), "q-pass", http.MethodPost, "/a/book", "")
	r.Body = http.NoBody
	v := e.view.Load()
	q := &request{
		gateway: e.Gateway, w: w, r: r, arrived: time.Now(), id: "q-pass", table: v.table,
		route: v.table.Find(r.Host, r.URL.Path), service: v.services["gowns"],
	}
	answered = q.passOnTo(to)
	return w, answered
}

// delegateResponse returns a delegate's response.
func delegateResponse(status, reason string, ids ...string) string {
	head := "HTTP/1.1 " + status + "\r\nPlumpitch-Reason: " + reason + "\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n"
	for _, id := range ids {
		head += "Plumpitch-Request-Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// Guards against requests that are refused, or sent to a second delegate, by bytes that no delegate
// sent for them, and against honest refusals of delegates that become errors.
func TestDelegateResponseWithoutOwnID(t *testing.T) {
	const unavailable = "503 Service Unavailable"
	tests := []struct {
		name     string
		bytes    func(id string) string
		answered bool
		status   int
	}{
		{"no reach, no ID", func(string) string { return delegateResponse(unavailable, "noreach") }, true, 502},
		{"no route, no ID", func(string) string { return delegateResponse("404 Not Found", "noroute") }, true, 502},
		{"overload, no ID", func(string) string { return delegateResponse(unavailable, "overload") }, true, 502},
		{"no reach, two IDs", func(id string) string { return delegateResponse(unavailable, "noreach", id, "another") }, true, 502},
		{"overload, another ID", func(string) string { return delegateResponse(unavailable, "overload", "another") }, true, 502},
		{"success with a reason, own ID", func(id string) string { return delegateResponse("200 OK", "overload", id) }, true, 502},
		{"no reach, own ID", func(id string) string { return delegateResponse(unavailable, "noreach", id) }, false, 0},
		{"overload, own ID", func(id string) string { return delegateResponse(unavailable, "overload", id) }, true, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			rec, answered := passOnOne(e, startDelegate(t, tt.bytes))
			w.c.Assert(answered, qt.Equals, tt.answered)
			if answered {
				w.c.Assert(rec.Code, qt.Equals, tt.status)
			}
			if tt.status == http.StatusServiceUnavailable {
				w.c.Assert(rec.Header().Get("Retry-After"), qt.Equals, "0.250")
			}
		})
	}
}

// Guards against a delegate's refusal that the entry which passed the request on can't tell from stray bytes.
func TestOwnResponsesHaveTheRequestID(t *testing.T) {
	tests := []struct {
		name, path string
		shed       bool
		status     int
	}{
		{"no route", "/b/x", false, 404},
		{"refused by all targets", "/a/x", true, 503},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			w.workers[0].SetFaults(func(r *http.Request) worker.Fault { return worker.Fault{Shed: r.URL.Path != "/health" && tt.shed} })
			a := e.call(http.MethodPost, tt.path, "")
			w.c.Assert(a.status, qt.Equals, tt.status)
			w.c.Assert(a.header["Plumpitch-Request-Id"], qt.DeepEquals, []string{a.id})
		})
	}
}

// Guards against a target whose response passes for the word of the delegate that forwards it: the
// request has run, and would be sent to the next delegate.
func TestTargetSpeaksForNoDelegate(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
	e := w.startEntry("a").waitReady()
	w.workers[0].SetFaults(func(r *http.Request) worker.Fault {
		if r.URL.Path == "/health" {
			return worker.Fault{}
		}
		return worker.Fault{Stray: strings.Replace(delegateResponse("404 Not Found", "noroute", r.Header.Get("Plumpitch-Request-Id")), "Retry-After", "X-Retry", 1)}
	})
	rec, answered := passOnOne(e, e.self)
	w.c.Assert(answered, qt.IsTrue)
	w.c.Assert(rec.Code, qt.Equals, http.StatusNotFound)
	w.waitFor("the run", func() bool { return w.runs("q-pass") > 0 }) // begins behind the response
	w.c.Assert(w.runs("q-pass"), qt.Equals, 1)
}

// Guards against a request that a delegate runs and another delegate gets too: the first one is asked
// again on the same connection, and a copy of its refusal is taken for its response.
func TestCopyOfDelegatesRefusal(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
	e := w.startEntry("a").waitReady()
	copyFirst := func(w io.Writer, copied, response string) { _, _ = io.WriteString(w, copied+response) }
	for range 10 {
		k := startCopyingTarget(t, func(id string) string { return delegateResponse("503 Service Unavailable", "noreach", id) }, copyFirst)
		to := owner.Entry{Name: "delegate", PeerAddress: k.address}
		_, answered := passOnOne(e, to)
		w.c.Assert(answered, qt.IsFalse)
		rec, answered := passOnOne(e, to)
		w.c.Check(answered, qt.IsTrue)
		w.c.Check(rec.Code, qt.Equals, http.StatusOK)
		w.c.Check(k.runCount("q-pass"), qt.Equals, 1)
	}
}
