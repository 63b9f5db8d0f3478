package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Ways in which a caller goes.
var departures = []struct {
	name  string
	leave func(c *caller)
}{
	{"close", func(c *caller) { c.Close() }},
	{"half-close", func(c *caller) { _ = c.CloseWrite() }},
	{"reset", func(c *caller) { _ = c.SetLinger(0); c.Close() }},
}

// Guards against requests of a caller that has gone which go on, or start.
func TestCallerLeaves(t *testing.T) {
	for _, state := range []struct {
		name    string
		max     int
		targets []string
		post    bool // a request that waits for all others, and one behind it
		started int
	}{
		{"with one request", 8, []string{"/a"}, false, 1},
		{"with several requests", 8, []string{"/a", "/b", "/c"}, false, 3},
		{"while reading is stopped by the bound", 2, []string{"/a", "/b", "/c", "/d", "/e"}, false, 2},
		{"while a request waits for its turn", 8, []string{"/a", "/b"}, true, 2},
		{"while a request waits for handlers that return", 8, []string{"/a?return", "/b?return"}, true, 2},
	} {
		for _, d := range departures {
			t.Run(d.name+" "+state.name, func(t *testing.T) {
				cfg := testConfig()
				cfg.MaxRequests = state.max
				w := newWorld(t, cfg)
				c := dial(t, w.addr)
				c.get(state.targets...)
				if state.post {
					c.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n")
					c.send(string(make([]byte, 9000)))
					c.get("/z")
				}
				w.await(&w.started, state.started)
				time.Sleep(5 * time.Millisecond)
				d.leave(c)
				start := time.Now()
				w.await(&w.ended, state.started)
				qt.Assert(t, time.Since(start) < patience/4, qt.IsTrue)
				time.Sleep(5 * time.Millisecond)
				qt.Assert(t, len(w.snapshot(&w.started)), qt.Equals, state.started)
			})
		}
	}
}

// Guards against requests that go on after their caller has closed in the middle of its
// responses.
func TestCallerLeavesBetweenResponses(t *testing.T) {
	for _, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			w := newWorld(t, testConfig())
			c := dial(t, w.addr)
			c.get("/a", "/b", "/c", "/d")
			w.await(&w.started, 4)
			w.open("/a")
			w.open("/c") // waits for /b
			c.expect("/a")
			d.leave(c)
			w.awaitFor(&w.ended, func(l []string) bool { return len(l) == 2 })
		})
	}
}

// Guards against a handler that waits for the turn of its response after the caller has
// gone, although an earlier handler doesn't end.
func TestWaitingWriterEnds(t *testing.T) {
	release, ended := make(chan struct{}), make(chan error, 1)
	cfg := testConfig()
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			<-release
			return
		}
		_, err := io.WriteString(w, "b")
		ended <- err
	})
	w := newWorld(t, cfg)
	defer close(release)
	c := dial(t, w.addr)
	c.get("/a", "/b")
	time.Sleep(10 * time.Millisecond)
	c.Close()
	select {
	case err := <-ended:
		qt.Assert(t, err, qt.IsNotNil)
	case <-time.After(patience):
		t.Fatal("the write still waits")
	}
}

// Guards against connections that are kept open without requests for too long, or that are
// closed while a request is under way or partly read.
func TestTimeouts(t *testing.T) {
	const short, long = 150 * time.Millisecond, patience
	for _, tt := range []struct {
		name               string
		header, read, idle time.Duration
		raw                string
		want               bool // a response comes after the pause
		ends               bool // the connection ends after the pause
	}{
		{"idle from the start", long, long, short, "", false, true},
		{"idle without a limit", short, short, 0, "", false, false},
		{"head partly read", long, long, short, "GET /a HT", false, false},
		{"head too slow", short, long, long, "GET /a HT", false, true},
		{"request under way", short, short, short, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", true, true},
		{"body too slow", long, short, long, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na", false, true},
		{"body within the time", short, long, short, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na", false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			cfg := testConfig()
			cfg.HeaderTimeout, cfg.ReadTimeout = constant(tt.header), tt.read
			cfg.IdleTimeout = func() time.Duration { return tt.idle }
			var w *world
			cfg.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					panic(http.ErrAbortHandler)
				}
				w.serve(rw, r)
			})
			w = newWorld(t, cfg)
			c := dial(t, w.addr)
			c.send(tt.raw)
			_ = c.SetReadDeadline(time.Now().Add(3 * short))
			_, err := c.br.Peek(1)
			if tt.want {
				qt.Assert(t, err, qt.Satisfies, isTimeout)
				w.open("/a")
				_ = c.SetReadDeadline(time.Now().Add(patience))
				c.expect("/a")
				c.expectEnd()
				return
			}
			qt.Assert(t, isTimeout(err), qt.Equals, !tt.ends)
		})
	}
}

// Guards against an idle timeout that stays as it was when the connection began.
func TestIdleTimeoutChanges(t *testing.T) {
	limits := make(chan time.Duration, 3)
	limits <- 0
	limits <- patience
	limits <- 20 * time.Millisecond
	cfg := testConfig()
	cfg.IdleTimeout = func() time.Duration { return <-limits }
	w := newWorld(t, cfg)
	c := dial(t, w.addr)
	for range 2 {
		c.get("/free")
		c.expect("/free")
		time.Sleep(5 * time.Millisecond)
	}
	start := time.Now()
	c.expectEnd()
	qt.Assert(t, time.Since(start) < patience/2, qt.IsTrue)
}

// Guards against connections that are closed before the idle timeout, later, or while a request is
// served.
func TestIdleConnection(t *testing.T) {
	const limit = 100 * time.Millisecond
	tests := []struct {
		name   string
		served int // requests before
		busy   bool
	}{
		{"never used", 0, false},
		{"idle after a request", 1, false},
		{"serving", 0, true},
		{"used again", 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.IdleTimeout = constant(limit)
			w := newWorld(t, cfg)
			c := dial(t, w.addr)
			for range tt.served {
				c.get("/free")
				c.expect("/free")
			}
			if tt.busy {
				c.get("/a")
				w.await(&w.started, 1)
			}
			began := time.Now()
			qt.Assert(t, c.SetReadDeadline(began.Add(5*limit)), qt.IsNil)
			_, err := c.br.Peek(1)
			qt.Assert(t, errors.Is(err, io.EOF), qt.Equals, !tt.busy, qt.Commentf("%v", err))
			qt.Assert(t, time.Since(began) >= limit*9/10, qt.IsTrue)
		})
	}
}

// Guards against a request that has arrived and is dropped, because the idle time ended
// before the server looked.
func TestRequestAtEndOfIdleTime(t *testing.T) {
	cfg := testConfig()
	cfg.IdleTimeout = func() time.Duration { return 1 }
	w := newWorld(t, cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	c := dial(t, l.Addr().String())
	c.get("/free")
	rwc, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	go w.server.ServeConn(rwc)
	c.expect("/free")
	c.expectEnd()
}

// Guards against requests that are lost by a shutdown, and connections that it forgets.
func TestShutdown(t *testing.T) {
	for _, tt := range []struct {
		name    string
		targets []string
		max     int
		late    bool // a request is sent just before the shutdown
	}{
		{"without requests", nil, 8, false},
		{"with a request", []string{"/a"}, 8, false},
		{"with several requests", []string{"/a", "/b", "/c"}, 8, false},
		{"with a request that waits to be served", []string{"/a", "/b", "/c"}, 1, false},
		{"just after a request", nil, 8, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.MaxRequests = tt.max
			w := newWorld(t, cfg)
			idle, c := dial(t, w.addr), dial(t, w.addr)
			for _, k := range []*caller{idle, c} {
				k.get("/free")
				k.expect("/free")
			}
			c.get(tt.targets...)
			w.await(&w.started, 2+min(len(tt.targets), tt.max))
			time.Sleep(5 * time.Millisecond)
			var late []*caller
			if tt.late {
				for range 20 {
					k := dial(t, w.addr)
					k.get("/free")
					k.expect("/free")
					late = append(late, k)
				}
				time.Sleep(5 * time.Millisecond)
				for _, k := range late {
					k.get("/free")
				}
			}
			done := make(chan error, 1)
			go func() { done <- w.server.Shutdown(context.Background()) }()
			idle.expectEnd()
			time.Sleep(2 * lastRequestWait)
			_, err := net.Dial("tcp", w.addr)
			qt.Assert(t, err, qt.IsNotNil)
			for _, k := range late {
				k.expect("/free")
				k.expectEnd()
			}
			for i, p := range tt.targets {
				w.open(p)
				qt.Assert(t, c.expect(p).Close, qt.Equals, i == len(tt.targets)-1, qt.Commentf(p))
			}
			c.expectEnd()
			qt.Assert(t, <-done, qt.IsNil)
		})
	}
}

// Guards against a shutdown that waits for ever.
func TestShutdownGivesUp(t *testing.T) {
	w := newWorld(t, testConfig())
	c := dial(t, w.addr)
	c.get("/a", "/b")
	w.await(&w.started, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	qt.Assert(t, w.server.Shutdown(ctx), qt.Equals, context.DeadlineExceeded)
	w.await(&w.ended, 2)
	_, err := c.read(http.MethodGet)
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against connections that the gateway accepts by itself and a shutdown forgets, and
// against a net.Conn without its descriptor.
func TestServeConn(t *testing.T) {
	got := make(chan net.Conn, 1)
	cfg := testConfig()
	cfg.ConnContext = func(ctx context.Context, c net.Conn) context.Context { got <- c; return ctx }
	w := newWorld(t, cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		if c, err := l.Accept(); err == nil {
			w.server.ServeConn(c)
		}
	}()
	c := dial(t, l.Addr().String())
	c.get("/a")
	w.await(&w.started, 1)
	_, ok := (<-got).(*net.TCPConn)
	qt.Assert(t, ok, qt.IsTrue)
	done := make(chan error, 1)
	go func() { done <- w.server.Shutdown(context.Background()) }()
	time.Sleep(2 * lastRequestWait)
	w.open("/a")
	qt.Assert(t, c.expect("/a").Close, qt.IsTrue)
	qt.Assert(t, <-done, qt.IsNil)
}
