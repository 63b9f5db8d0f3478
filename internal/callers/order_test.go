package callers

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against several requests under way on a connection that may have only one.
func TestConnectionWithoutPipelining(t *testing.T) {
	cfg := testConfig()
	cfg.Pipelines = constant(false)
	w := newWorld(t, cfg)
	c := dial(t, w.addr)
	c.get("/a", "/b")
	w.await(&w.started, 1)
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, w.snapshot(&w.started), qt.DeepEquals, []string{"/a"})
	w.openAll()
	c.expect("/a", "/b")
}

// Guards against responses in the order of completion, and against requests that wait for
// the response of an earlier one before they start.
func TestResponsesInRequestOrder(t *testing.T) {
	for _, tt := range []struct {
		name string
		open []string
	}{
		{"first to last", []string{"/a", "/b", "/c", "/d"}},
		{"last to first", []string{"/d", "/c", "/b", "/a"}},
		{"first is last", []string{"/c", "/b", "/d", "/a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, testConfig())
			c := dial(t, w.addr)
			c.get("/a", "/b", "/c", "/d")
			w.await(&w.started, 4)
			for _, p := range tt.open {
				w.open(p)
				time.Sleep(2 * time.Millisecond)
			}
			c.expect("/a", "/b", "/c", "/d")
			c.get("/free")
			c.expect("/free")
		})
	}
}

// Guards against more requests or response bytes of one connection than its bounds allow,
// and against a connection that doesn't read on once there is room.
func TestBounds(t *testing.T) {
	const size = "?size=40000"
	for _, tt := range []struct {
		name     string
		requests int
		bytes    int
		targets  []string
		open     []string // before the count
		started  int
	}{
		{"one request", 1, 1 << 20, []string{"/a", "/b", "/c"}, nil, 1},
		{"three requests", 3, 1 << 20, []string{"/a", "/b", "/c", "/d", "/e"}, nil, 3},
		{"bytes", 8, 30000, []string{"/a", "/b" + size, "/c", "/d"}, []string{"/b"}, 2},
		{"bytes of two responses", 8, 60000, []string{"/a", "/b" + size, "/c" + size, "/d"}, []string{"/b", "/c"}, 3},
		{"bytes within the bound", 8, 100000, []string{"/a", "/b" + size, "/c" + size, "/d"}, []string{"/b", "/c"}, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxRequests, cfg.MaxWaitingBytes = tt.requests, tt.bytes
			w := newWorld(t, cfg)
			c := dial(t, w.addr)
			for i, target := range tt.targets {
				c.get(target)
				if i < tt.started {
					w.await(&w.started, i+1)
				}
				if i < tt.started && len(tt.open) > 0 && target[:2] == tt.open[0] {
					w.open(tt.open[0])
					tt.open = tt.open[1:]
					time.Sleep(20 * time.Millisecond) // until the handler waits for its turn
				}
			}
			time.Sleep(30 * time.Millisecond)
			qt.Assert(t, len(w.snapshot(&w.started)), qt.Equals, tt.started)
			w.openAll()
			for range tt.targets {
				_, err := c.read(http.MethodGet)
				qt.Assert(t, err, qt.IsNil)
			}
		})
	}
}

// Guards against requests that run beside one that isn't concurrent.
func TestBarrier(t *testing.T) {
	w := newWorld(t, testConfig())
	c := dial(t, w.addr)
	c.get("/a", "/b")
	c.send("POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	c.get("/d", "/e")
	steps := []struct {
		open    string
		started int
	}{{"/b", 2}, {"/a", 3}, {"/c", 5}, {"/e", 5}, {"/d", 5}}
	w.await(&w.started, 2)
	for _, s := range steps {
		w.open(s.open)
		w.await(&w.started, s.started)
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, len(w.snapshot(&w.started)), qt.Equals, s.started)
	}
	c.expect("/a", "/b", "/c", "/d", "/e")
	qt.Assert(t, w.snapshot(&w.started)[2], qt.Equals, "/c")
}

// Guards against a concurrent request with a body, whose handler would read the connection
// while the next request is read, and would send 100 Continue between responses.
func TestBodyIsNotConcurrent(t *testing.T) {
	w := newWorld(t, testConfig())
	c := dial(t, w.addr)
	c.get("/a")
	c.send("GET /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	c.get("/c")
	for i, p := range []string{"/a", "/b", "/c"} {
		w.await(&w.started, i+1)
		time.Sleep(10 * time.Millisecond)
		qt.Assert(t, len(w.snapshot(&w.started)), qt.Equals, i+1)
		w.open(p)
	}
	c.expect("/a", "/b", "/c")
}

// Guards against requests that run although an earlier response closes the connection, and
// against responses that are lost behind a Connection: close.
func TestResponseCloses(t *testing.T) {
	for _, tt := range []struct {
		name    string
		targets []string
		want    []string
	}{
		{"first", []string{"/a?close", "/b", "/c"}, []string{"/a", "/b", "/c"}},
		{"second", []string{"/a", "/b?close", "/c"}, []string{"/a", "/b", "/c"}},
		{"last", []string{"/a", "/b", "/c?close"}, []string{"/a", "/b", "/c"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxRequests = 3
			w := newWorld(t, cfg)
			c := dial(t, w.addr)
			c.get(tt.targets...)
			c.get("/dropped", "/unread")
			w.await(&w.started, 3)
			time.Sleep(10 * time.Millisecond)
			closer := tt.targets[0][:2]
			for _, p := range tt.targets {
				if len(p) > 2 {
					closer = p[:2]
				}
			}
			w.open(closer) // the first to write: those behind the three must be dropped
			time.Sleep(10 * time.Millisecond)
			for _, p := range tt.want {
				if p != closer {
					w.open(p)
				}
			}
			for i, b := range tt.want {
				a := c.expect(b)
				qt.Assert(t, a.Close, qt.Equals, i == len(tt.want)-1)
			}
			c.expectEnd()
			qt.Assert(t, len(w.snapshot(&w.started)), qt.Equals, 3)
		})
	}
}

// Guards against the wait for a head that the caller sends slowly, after a response has
// closed the connection.
func TestResponseClosesDuringHead(t *testing.T) {
	w := newWorld(t, testConfig())
	c := dial(t, w.addr)
	c.get("/a?close")
	c.send("GET /b HT")
	w.await(&w.started, 1)
	time.Sleep(10 * time.Millisecond)
	start := time.Now()
	w.open("/a")
	qt.Assert(t, c.expect("/a").Close, qt.IsTrue)
	c.expectEnd()
	qt.Assert(t, time.Since(start) < patience/2, qt.IsTrue)
}

// Guards against responses that are sent behind one that broke off, and against earlier
// ones that are lost with it.
func TestHandlerAborts(t *testing.T) {
	for _, tt := range []struct {
		name, query string
		partly      bool
	}{{"before the response", "?abort", false}, {"in the middle of the response", "?cut", true}} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, testConfig())
			c := dial(t, w.addr)
			c.get("/a", "/b"+tt.query, "/c", "/d")
			w.await(&w.started, 4)
			w.open("/b")
			if !tt.partly {
				w.awaitFor(&w.ended, func(l []string) bool { return len(l) == 2 })
			}
			w.open("/a")
			c.expect("/a")
			a, err := c.read(http.MethodGet)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, len(a.body), qt.Equals, map[bool]int{true: 5000}[tt.partly])
			w.await(&w.ended, 2)
		})
	}
}

// Guards against a panic of one handler that ends the process, or leaves no trace.
func TestHandlerPanics(t *testing.T) {
	cfg := testConfig()
	cfg.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") })
	w := newWorld(t, cfg)
	c := dial(t, w.addr)
	c.get("/a")
	c.expectEnd()
	c.Close()
	qt.Assert(t, w.server.Shutdown(t.Context()), qt.IsNil)
	qt.Assert(t, len(w.logs.Entries), qt.Equals, 1)
	qt.Assert(t, w.logs.Entries[0].Message, qt.Equals, "handler panicked: broken")
	qt.Assert(t, fmt.Sprint(w.logs.Entries[0].Fields["stack"]), qt.Contains, "TestHandlerPanics")
}
