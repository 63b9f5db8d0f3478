package callers

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A caller sends further requests while the last response before a shutdown is on its way.
// Guards against a connection that is reset by these requests, since the reset may destroy a
// response that the caller has not read yet.
func TestShutdownDoesNotReset(t *testing.T) {
	for _, tt := range []struct {
		name  string
		delay time.Duration // of the response, from the start of the shutdown
	}{
		{"while requests are still read", 0},
		{"after the last request has been read", 2 * lastRequestWait},
	} {
		t.Run(tt.name, func(t *testing.T) { checkNoReset(t, tt.delay) })
	}
}

func checkNoReset(t *testing.T, delay time.Duration) {
	w := newWorld(t, testConfig())
	c := dial(t, w.addr)
	c.get("/a")
	w.await(&w.started, 1)
	done := make(chan error, 1)
	go func() { done <- w.server.Shutdown(context.Background()) }()
	for !w.server.down.Load() {
		time.Sleep(100 * time.Microsecond)
	}
	time.Sleep(delay)
	w.open("/a")
	qt.Assert(t, c.expect("/a").Close, qt.IsTrue)
	time.Sleep(5 * time.Millisecond)
	for range 3 {
		_, err := io.WriteString(c, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Millisecond)
	}
	c.expectEnd()
	c.Close()
	qt.Assert(t, <-done, qt.IsNil)
}

// Guards against a connection that goes on after Leave, and against one that ends although further
// requests have arrived.
func TestLeave(t *testing.T) {
	for _, tt := range []struct {
		name    string
		max     int
		targets []string
		began   int // requests that begin before Leave
		closes  bool
	}{
		{"one request", 8, []string{"/a"}, 0, true},
		{"several requests", 8, []string{"/a", "/b", "/c"}, 0, true},
		{"requests that wait for their turn", 1, []string{"/a", "/b", "/c"}, 0, true},
		{"requests that wait for one from before", 1, []string{"/a", "/b"}, 1, true},
		{"requests from before", 8, []string{"/a", "/b"}, 2, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxRequests = tt.max
			w := newWorld(t, cfg)
			c := dial(t, w.addr)
			if tt.began == 0 {
				w.server.Leave()
			}
			c.get(tt.targets...)
			w.await(&w.started, min(len(tt.targets), tt.max))
			time.Sleep(5 * time.Millisecond)
			w.server.Leave()
			for i, p := range tt.targets {
				w.open(p)
				qt.Assert(t, c.expect(p).Close, qt.Equals, tt.closes && i == len(tt.targets)-1, qt.Commentf(p))
			}
			if tt.closes {
				c.expectEnd()
			}
		})
	}
}
