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

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/memory"
	"plumpitch.example/plumpitch/platform"
)

// fillMemory leaves no room for large bodies at an entry until the test ends.
func (w *world) fillMemory(e *entry) {
	for e.guard.Buffer(32 << 10) { // as responses do
	}
}

// Guards against a division of the memory in which the smallest VMs never take the largest body
// that the configuration allows.
func TestLargestBodyFitsSmallestVM(t *testing.T) {
	const (
		smallestVM  = 184e6
		largestBody = 64 << 20
		connections = 300
	)
	i := newInstruments("a")
	m := newGuard(platform.Settings{Memory: smallestVM}, &i, log.Log)
	for range connections {
		qt.Assert(t, m.at(admission.Traffic).Connect("127.0.0.1", callers.Actions{}), qt.IsNotNil)
	}
	h, err := m.open(time.Now(), memory.Body{Length: largestBody, Deadline: time.Now().Add(waitLimit)}, func() {})
	qt.Assert(t, err, qt.IsNil)
	never := func(time.Time) bool { return true }
	for held := int64(0); held < largestBody; {
		n := min(memory.NextPart(held), largestBody-held)
		err := h.extend(n, never)
		qt.Assert(t, err, qt.IsNil)
		held += n
	}
	qt.Assert(t, h.complete(), qt.IsNil)
	h.close()
}

// Guards against an entry that hangs, as it interrupts the read of a refused body while it holds the
// lock that the connection needs.
func TestInterruptHoldsNoLock(t *testing.T) {
	const size = 3 << 20
	i := newInstruments("a")
	m := newGuard(platform.Settings{Memory: 10e6}, &i, log.Log)
	interrupted := make(chan struct{})
	open := func(interrupt func()) *heldBody {
		h, err := m.open(time.Now(), memory.Body{Length: size, Deadline: time.Now().Add(time.Second)}, interrupt)
		qt.Assert(t, err, qt.IsNil)
		return h
	}
	slow := open(func() {
		m.usage()
		close(interrupted)
	})
	held := int64(0)
	for held < size*2/3 { // too much to leave room for the other body
		n := memory.NextPart(held)
		qt.Assert(t, slow.ask(n).Verdict, qt.Equals, memory.Grant)
		held += n
	}
	began := time.Now()
	never := func(time.Time) bool { return time.Since(began) > waitLimit }
	other := open(func() {})
	for held := int64(0); held <= bodyStart; {
		n := memory.NextPart(held)
		err := other.extend(n, never)
		qt.Assert(t, err, qt.IsNil)
		held += n
	}
	select {
	case <-interrupted:
	case <-time.After(waitLimit):
		t.Fatal("the read of the slow body wasn't interrupted")
	}
	qt.Assert(t, slow.refusedWith(), qt.IsNotNil)
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
			w.waitFor("the end of the body", func() bool { return e.guard.usage().Waiting == 0 })
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
	w.waitFor("the start of the body", func() bool { return e.guard.usage().Held > 0 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
	w.c.Assert(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
	w.waitFor("the end of the body", func() bool { return e.guard.usage().Held == 0 })
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
		u := e.guard.usage()
		e.guard.mu.Lock()
		defer e.guard.mu.Unlock()
		return u == memory.Usage{Limit: u.Limit, Conns: u.Conns} && e.guard.budget.Usage(admission.Traffic) == admission.Usage{}
	})
}
