package gateway

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

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// startRawTarget starts a target whose connections a test serves from the first request on that isn't
// a health check.
func (w *world) startRawTarget(id string, serve func(c net.Conn, r *http.Request)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if r.URL.Path != "/health" {
						serve(c, r)
						return
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nPlumpitch-Instance-Id: %s\r\nPlumpitch-Server-Load: 0,0,64,100\r\nContent-Length: 0\r\n\r\n", id)
				}
			}()
		}
	}()
	w.store.PutTarget(objects.Target{ID: id, Address: l.Addr().String(), Service: "gowns", Place: "hall", Slots: 64})
}

// Guards against a part of a response that a caller takes for the whole, because its target reset the
// connection while the upload was written.
func TestResetDuringUpload(t *testing.T) {
	const targets, uploads, size, length = 40, 60, 8 << 20, 20_000
	for _, kind := range []struct{ method, routeType string }{{"POST", "non_idempotent"}, {"PUT", "idempotent"}} {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v", kind.routeType, delay), func(t *testing.T) {
				w := newWorld(t, worldConfig{routeType: kind.routeType, attempts: 1})
				w.store.BodyLimit = 2 * size
				w.configure(worldConfig{routeType: kind.routeType, attempts: 1})
				var arrived atomic.Int64
				for i := range targets {
					w.startRawTarget(fmt.Sprintf("i-raw-%d", i), func(c net.Conn, r *http.Request) {
						arrived.Add(1)
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Response-Signature: raw\r\n\r\n%s",
							r.Header.Get("Plumpitch-Request-Id"), strings.Repeat("x", length))
						time.Sleep(delay)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
				}
				e := w.startEntry("a").waitReady()
				body := strings.Repeat("u", size)
				statuses := make(map[int]int)
				for i := range uploads {
					a := e.call(kind.method, fmt.Sprintf("/a/%d", i), body)
					w.c.Check(a.err == nil && a.status == http.StatusOK, qt.IsFalse, qt.Commentf("%s: a part of %d bytes", a.id, len(a.body)))
					statuses[a.status]++
				}
				t.Logf("%d arrived, statuses %v", arrived.Load(), statuses)
				w.c.Check(arrived.Load(), qt.Equals, int64(uploads))
			})
		}
	}
}

// Guards against a caller that gets no response, because its target responds before it has read the upload.
func TestResponseDuringUpload(t *testing.T) {
	const size, length = 8 << 20, 20_000
	tests := []struct {
		name string
		end  func(c net.Conn, r *http.Request)
	}{
		{"closes its side", func(c net.Conn, r *http.Request) {
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}},
		{"reads on, then closes", func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{routeType: "non_idempotent"})
			w.store.BodyLimit = 2 * size
			w.configure(worldConfig{routeType: "non_idempotent"})
			w.startRawTarget("i-raw", func(c net.Conn, r *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Response-Signature: raw\r\n\r\n%s",
					r.Header.Get("Plumpitch-Request-Id"), strings.Repeat("x", length))
				tt.end(c, r)
			})
			e := w.startEntry("a").waitReady()
			for range 10 {
				a := e.call("POST", "/a/book", strings.Repeat("u", size))
				w.c.Assert(a.err, qt.IsNil)
				w.c.Assert(a.status, qt.Equals, http.StatusOK)
				w.c.Assert(a.body, qt.HasLen, length)
			}
		})
	}
}
