package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/memory"
	"plumpitch.example/plumpitch/platform"
)

// fillMemory leaves no room for large bodies at an entry until the test ends.
func (w *world) fillMemory(e *entry) {
	for e.guard.Buffer(32 << 10) { // as responses do
	}
}

// Guards against callers that see a reset in place of the refusal, as the entry closes the
// connection while they still send the body, and against refused requests that run.
func TestRefusalWhileCallerSends(t *testing.T) {
	tests := []struct {
		name    string
		framing string
	}{
		{"length", "Content-Length: 1000000\r\n"},
		{"chunked", "Transfer-Encoding: chunked\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "upload", timeout: "1200ms"})
			e := w.startEntry("a").waitReady()
			w.fillMemory(e)
			conn, err := net.Dial("tcp", e.self.CallerAddress)
			w.c.Assert(err, qt.IsNil)
			defer conn.Close()
			w.c.Assert(conn.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
			_, err = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: veil.example\r\n%s: q-room\r\n%s\r\n", platform.HeaderRequestID, tt.framing)
			w.c.Assert(err, qt.IsNil)
			part := strings.Repeat("v", 10_000)
			for range 100 { // the caller reads nothing before it has sent all
				if strings.HasPrefix(tt.framing, "Transfer") {
					_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part)
				} else {
					_, err = io.WriteString(conn, part)
				}
				w.c.Assert(err, qt.IsNil)
				time.Sleep(10 * time.Millisecond) // it is refused after some 0.7 s
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			w.c.Assert(err, qt.IsNil)
			w.c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			w.c.Assert(resp.Header.Get("Plumpitch-Reason"), qt.Equals, reasonNoMemory)
			w.c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
			w.c.Assert(w.runs("q-room"), qt.Equals, 0)
			w.waitFor("the end of the body", func() bool { return e.guard.Usage().Waiting == 0 })
			w.c.Assert(e.call(http.MethodPost, "/a/x", "small").status, qt.Equals, http.StatusOK)
		})
	}
}

// Guards against callers that keep room, or the entry's connection, by a body that they never
// complete.
func TestBodyThatNeverEnds(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "upload", timeout: "500ms"})
	e := w.startEntry("a").waitReady()
	conn, err := net.Dial("tcp", e.self.CallerAddress)
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	began := time.Now()
	w.c.Assert(conn.SetDeadline(began.Add(waitLimit)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /a/x HTTP/1.1\r\nHost: veil.example\r\n%s: q-slow\r\nContent-Length: 800000\r\n\r\nveil", platform.HeaderRequestID)
	w.c.Assert(err, qt.IsNil)
	w.waitFor("the start of the body", func() bool { return e.guard.Usage().Held > 0 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	w.c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	w.waitFor("the end of the body", func() bool { return e.guard.Usage().Held == 0 })
	w.c.Assert(w.runs("q-slow"), qt.Equals, 0)
}

// Guards against callers that send a body for a route that no service can serve, and wait for it.
func TestBodyWithoutService(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "upload", timeout: "none"})
	e := w.startEntry("a").waitReady()
	out := e.call(http.MethodPost, "/a/x", strings.Repeat("veil", 100_000))
	w.c.Assert(out.status, qt.Equals, http.StatusServiceUnavailable)
	w.c.Assert(w.arrivals(), qt.Equals, 0)
}

// Guards against bodies, responses and connections that stay charged after their requests.
func TestMemoryIsGivenBack(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2, routeType: "upload"})
	e := w.startEntry("a").waitReady()
	client := &http.Client{Transport: &http.Transport{}}
	for i := range 20 {
		out := send(client, fmt.Sprint("q-", i), e.newRequest(t.Context(), fmt.Sprint("q-", i), http.MethodPost, "/a/x", strings.Repeat("veil", 50_000)))
		w.c.Assert(out.status, qt.Equals, http.StatusOK)
	}
	client.CloseIdleConnections()
	w.waitFor("nothing held", func() bool {
		u := e.guard.Usage()
		return u == memory.Usage{Limit: u.Limit, Conns: u.Conns} && e.guard.ClassUsage(admission.Traffic) == admission.Usage{}
	})
}
