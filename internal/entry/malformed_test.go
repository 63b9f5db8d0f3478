package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// chunkedBody hides the length of a body, so that it is sent in chunks.
type chunkedBody struct{ io.Reader }

// startCountingTarget runs a target that counts the requests that it starts to
// serve.
func startCountingTarget(t *testing.T, began *atomic.Int64) string {
	return startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		b, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d bytes", len(b))
	})
}

// Each invalid request gets a final response with the correct outcome and a detail
// that describes the error. It reaches no target, unless the error appears in a
// body that is already being streamed. An over-long header is rejected by net/http,
// without an outcome.
func TestBadRequests(t *testing.T) {
	var began atomic.Int64
	addr := startCountingTarget(t, &began)
	w := start(
		t,
		testService{name: "plain", settings: `"maxbody": "100KB"`, targets: []string{addr}},
		testService{name: "keyed", settings: `"requirekey": true`, targets: []string{addr}},
	)
	long := strings.Repeat("x", 200<<10)
	for _, tt := range []struct {
		name, method, path string
		body               io.Reader
		header             []string
		status             int
		outcome            string
		detail             string // in the response body
		begins             bool
	}{
		{name: "unknown service", path: "/v1/call/nosuch/", status: 404, outcome: "not-run malformed", detail: "service: found"},
		{name: "no service", path: "/v1/call/", status: 404, outcome: "not-run malformed", detail: "service: found"},
		{name: "unknown path", path: "/nosuch", status: 404, outcome: "not-run malformed", detail: "path: found"},
		{name: "locate without a service", path: "/v1/locate", status: 400, outcome: "not-run malformed", detail: "service: found nothing"},
		{name: "locate by POST", method: "POST", path: "/v1/locate", status: 405, outcome: "not-run malformed", detail: "method: found"},
		{name: "locate of an unknown service", path: "/v1/locate?service=x", status: 404, outcome: "not-run malformed", detail: "service: found"},
		{name: "timeout without a unit", header: []string{"Plumpitch-Timeout", "250"}, status: 400, outcome: "not-run malformed", detail: "header Plumpitch-Timeout: found"},
		{name: "negative timeout", header: []string{"Plumpitch-Timeout", "-1s"}, status: 400, outcome: "not-run malformed", detail: "header Plumpitch-Timeout: found"},
		{name: "two timeouts", header: []string{"Plumpitch-Timeout", "1s", "Plumpitch-Timeout", "2s"}, status: 400, outcome: "not-run malformed", detail: "expected one value"},
		{name: "expired deadline", header: []string{"Plumpitch-Timeout", "0ms"}, status: 504, outcome: "not-run deadline"},
		{name: "bad attempt", header: []string{"Plumpitch-Attempt", "-1"}, status: 400, outcome: "not-run malformed", detail: "header Plumpitch-Attempt: found"},
		{name: "attempt out of range", header: []string{"Plumpitch-Attempt", "1001"}, status: 400, outcome: "not-run malformed", detail: "header Plumpitch-Attempt: found"},
		{name: "bad depth", header: []string{"Plumpitch-Depth", "two"}, status: 400, outcome: "not-run malformed", detail: "header Plumpitch-Depth: found"},
		{name: "no key", method: "POST", path: "/v1/call/keyed/", status: 400, outcome: "not-run malformed", detail: "Idempotency-Key: found nothing"},
		{name: "key with a space", method: "POST", path: "/v1/call/keyed/", header: []string{"Idempotency-Key", "a b"}, status: 400, outcome: "not-run malformed", detail: "Idempotency-Key: found a value"},
		{name: "over-long key", method: "POST", path: "/v1/call/keyed/", header: []string{"Idempotency-Key", strings.Repeat("k", 256)}, status: 400, outcome: "not-run malformed", detail: "Idempotency-Key: found a value"},
		{name: "two keys", method: "POST", path: "/v1/call/keyed/", header: []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, status: 400, outcome: "not-run malformed", detail: "found several values"},
		{name: "over-long header", header: []string{"X-Veil", long}, status: 431},
		{name: "over-long body", method: "POST", body: strings.NewReader(long), status: 413, outcome: "not-run malformed", detail: "body: found 204800 bytes, expected at most 102400"},
		{name: "over-long body in chunks", method: "POST", body: chunkedBody{strings.NewReader(long)}, status: 413, outcome: "unknown malformed", detail: "body: found more bytes, expected at most 102400", begins: true},
		{name: "over-long body in chunks with a key", method: "POST", body: chunkedBody{strings.NewReader(long)}, header: []string{"Idempotency-Key", "long"}, status: 413, outcome: "unknown malformed", detail: "expected at most 102400", begins: true},
		{name: "body of just the limit", method: "POST", body: chunkedBody{strings.NewReader(long[:100<<10])}, status: 200, detail: "102400 bytes", begins: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.subtest(t)
			before := began.Load()
			if tt.path == "" {
				tt.path = "/v1/call/plain/"
			}
			got := w.request(tt.method, tt.path, tt.body, tt.header...)
			w.c.Assert(got.StatusCode, qt.Equals, tt.status, qt.Commentf("%s", got.body))
			w.c.Assert(got.outcome(), qt.Equals, tt.outcome)
			w.c.Assert(got.body, qt.Contains, tt.detail)
			if !tt.begins {
				w.c.Assert(began.Load(), qt.Equals, before)
			}
			w.waitIdle("plain")
			w.waitIdle("keyed")
		})
	}
}

// A path that contains "//" or ".." reaches the target unchanged. A redirect to
// the cleaned path would make a client send a GET in place of its POST.
func TestPathReachesTargetAsSent(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Method+" "+r.RequestURI) })
	w := start(t, testService{name: "plain", targets: []string{addr}})
	for _, path := range []string{"/a//b", "/a/../b", "/a/./b/", "/a%2Fb?x=%2F", "//", "/?"} {
		w.c.Assert(w.request("POST", "/v1/call/plain"+path, nil).body, qt.Equals, "POST "+path)
	}
}

// dial opens a connection to the entry and sends the start of a request.
func (w *testEntry) dial(text string) net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.Addresses().Callers)
	w.c.Assert(err, qt.IsNil)
	w.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	_, err = io.WriteString(conn, text)
	w.c.Assert(err, qt.IsNil)
	return conn
}

// A caller stops sending in the middle of its body. At the deadline it gets a final
// response, the target's slot is freed, the failure doesn't count against the
// target, and the entry closes the connection.
func TestSlowBody(t *testing.T) {
	var began atomic.Int64
	w := start(t, testService{name: "plain", targets: []string{startCountingTarget(t, &began)}})
	for _, tt := range []struct {
		name, method, path, framing, sent string
		header                            string
		response                          []string // parts of it
	}{
		{name: "short", path: "/v1/call/plain/", framing: "Content-Length: 10", sent: "veil", response: []string{"408", "not-run", "body: found no end by the deadline"}},
		{name: "long", path: "/v1/call/plain/", framing: "Content-Length: 100000", sent: "veil", response: []string{"504", "unknown", "timeout"}},
		{name: "in chunks", path: "/v1/call/plain/", framing: "Transfer-Encoding: chunked", sent: "4\r\nveil\r\n", response: []string{"504", "unknown", "timeout"}},
		{name: "in chunks with a key", path: "/v1/call/plain/", framing: "Transfer-Encoding: chunked", header: "Idempotency-Key: slow\r\n", sent: "4\r\nveil\r\n", response: []string{"408", "not-run", "body: found no end by the deadline"}},
		{name: "of an unknown service", path: "/v1/call/nosuch/", framing: "Content-Length: 10", sent: "veil", response: []string{"404", "not-run"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.subtest(t)
			conn := w.dial("POST " + tt.path + " HTTP/1.1\r\nHost: h\r\nPlumpitch-Timeout: 300ms\r\n" + tt.header + tt.framing + "\r\n\r\n" + tt.sent)
			b, err := io.ReadAll(conn)
			w.c.Assert(err, qt.IsNil)
			for _, part := range tt.response {
				w.c.Assert(string(b), qt.Contains, part)
			}
			w.waitIdle("plain")
		})
	}
	sv := w.snapshot.Load().services["plain"]
	for _, row := range sv.explain(time.Now()) {
		w.c.Assert(row.FailEvidence, qt.Equals, 0.0)
	}
}

// A caller never completes the head of its request. The entry closes the
// connection.
func TestSlowHeader(t *testing.T) {
	w := start(t, testService{name: "plain", targets: []string{startCountingTarget(t, new(atomic.Int64))}})
	began := time.Now()
	_, err := io.ReadAll(w.dial("GET /v1/call/plain/ HTTP/1.1\r\nHost: h\r\n"))
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(time.Since(began) < waitLimit, qt.IsTrue)
}

// Guards against targets that seem to refuse connections, because a caller declares a trailer under a
// name that net/http accepts but doesn't send.
func TestMalformedTrailerName(t *testing.T) {
	var began atomic.Int64
	w := start(t, testService{name: "plain", targets: []string{startCountingTarget(t, &began)}})
	tests := []struct {
		name   string
		status int
		runs   int64
	}{
		{"X-Sum", http.StatusOK, 1},
		{"X Sum", http.StatusBadRequest, 0},
		{"X@Sum", http.StatusBadRequest, 0},
		{"X-More, X Sum", http.StatusBadRequest, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			began.Store(0)
			conn, err := net.Dial("tcp", w.Addresses().Callers)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /v1/call/plain/ HTTP/1.1\r\nHost: a\r\nTrailer: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", tt.name)
			c.Assert(err, qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Assert(resp.StatusCode, qt.Equals, tt.status)
			c.Assert(began.Load(), qt.Equals, tt.runs)
		})
	}
}
