package callers

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testGuard is a guard with room for some header lines.
type testGuard struct {
	mu      sync.Mutex
	lines   int           // room
	delay   time.Duration // of a request
	parts   time.Duration // delay of each part of a body
	refuses bool
	held    headSize
	conns   int
	served  int
	actions Actions
}

func (g *testGuard) Connect(_ string, a Actions) Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuses {
		return nil
	}
	g.conns++
	g.actions = a
	return &testLease{testGuard: g}
}

// act returns the actions of the latest connection.
func (g *testGuard) act() Actions {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.actions
}

// usage returns what is held, and the number of connections and of served requests.
func (g *testGuard) usage() (held headSize, conns, served int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held, g.conns, g.served
}

type testLease struct {
	*testGuard
	unguarded
}

func (l *testLease) Read(int, int) time.Duration { return l.parts }

func (l *testLease) Request() time.Duration { return l.delay }

func (l *testLease) ReadHead(bytes, lines int) (time.Duration, bool) { return 0, l.Hold(bytes, lines) }

func (l *testLease) Hold(bytes, lines int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.lines+lines > l.lines {
		return false
	}
	l.held.bytes += bytes
	l.held.lines += lines
	return true
}

func (l *testLease) Free(bytes, lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.bytes -= bytes
	l.held.lines -= lines
}

func (l *testLease) End(_, served bool, bytes, lines int) {
	l.Free(bytes, lines)
	l.mu.Lock()
	defer l.mu.Unlock()
	if served {
		l.served++
	}
}

func (l *testLease) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns--
}

func newGuardedWorld(t *testing.T, g *testGuard) *world {
	cfg := testConfig()
	cfg.Guard = g
	return newWorld(t, cfg)
}

// Guards against heads that are held without room, and against refused requests that run.
func TestHeadWithoutRoom(t *testing.T) {
	head := "GET /free HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1000)
	tests := []struct {
		name, sent string
		lines      int // room
		status     int
	}{
		{"complete", head + "\r\n", 100, http.StatusServiceUnavailable},
		{"without an end", head, 100, http.StatusServiceUnavailable},
		{"room for it", head + "\r\n", 2000, http.StatusOK},
		{"longer than allowed", "GET /free HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 20_000) + "\r\n", 100_000, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &testGuard{lines: tt.lines}
			w := newGuardedWorld(t, g)
			c := dial(t, w.addr)
			go func() { _, _ = io.WriteString(c, tt.sent) }()
			a, err := c.read(http.MethodGet)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.StatusCode, qt.Equals, tt.status)
			if tt.status != http.StatusOK {
				qt.Assert(t, w.snapshot(&w.started), qt.HasLen, 0)
			}
			if tt.status == http.StatusServiceUnavailable {
				qt.Assert(t, a.Header.Get("Retry-After"), qt.Equals, "1")
			}
			c.Close()
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				held, conns, _ := g.usage()
				if held == (headSize{}) && conns == 0 {
					return
				}
				qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("%+v held by %d connections", held, conns))
			}
		})
	}
}

// Guards against heads inside the limit that are refused by what they take in another form.
func TestHeaderBytes(t *testing.T) {
	const limit = 8 << 10 // of testConfig
	sizes := make(chan int, 1)
	cfg := testConfig()
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { sizes <- w.(Response).HeaderBytes() })
	w := newWorld(t, cfg)
	for _, line := range []string{"a:\r\n", "a: 1\r\n", "long-name: long value\r\n", "A:" + strings.Repeat("v", 1000) + "\r\n"} {
		t.Run(strconv.Itoa(len(line)), func(t *testing.T) {
			header := "Host: h\r\n"
			header += strings.Repeat(line, (limit-len(header))/len(line))
			c := dial(t, w.addr)
			for range 2 { // the second head is read from the buffer in part
				c.send("GET /some/path?q=1 HTTP/1.1\r\n" + header + "\r\n")
				a, err := c.read(http.MethodGet)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, a.StatusCode, qt.Equals, http.StatusOK)
				qt.Assert(t, <-sizes, qt.Equals, len(header))
			}
		})
	}
}

// Guards against connections that are served though there is no room for them, or after they were
// evicted.
func TestConnectionWithoutRoom(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		w := newGuardedWorld(t, &testGuard{refuses: true})
		dial(t, w.addr).expectEnd()
	})
	t.Run("evicted", func(t *testing.T) {
		g := &testGuard{lines: 100}
		w := newGuardedWorld(t, g)
		c := dial(t, w.addr)
		c.get("/free")
		c.expect("/free")
		g.act().Evict()
		_, err := c.read(http.MethodGet)
		qt.Assert(t, err, qt.IsNotNil)
	})
}

// Guards against requests without use that count as use, and the reverse.
func TestServed(t *testing.T) {
	tests := []struct {
		name    string
		request string
		handler http.HandlerFunc
		served  int
	}{
		{"success", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", func(http.ResponseWriter, *http.Request) {}, 1},
		{"not found", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.NotFound, 0},
		{"refused", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 0},
		{"not found by a target", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", func(w http.ResponseWriter, _ *http.Request) {
			w.(Response).SetServed(true)
			w.WriteHeader(http.StatusNotFound)
		}, 1},
		{"unread body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nv", func(http.ResponseWriter, *http.Request) {}, 0},
		{"aborted", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0},
		{"malformed", "GET\r\n\r\n", func(http.ResponseWriter, *http.Request) {}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &testGuard{lines: 100}
			cfg := testConfig()
			cfg.Guard, cfg.Handler = g, tt.handler
			w := newWorld(t, cfg)
			c := dial(t, w.addr)
			c.send(tt.request)
			_, _ = c.read(http.MethodGet)
			c.Close()
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				_, conns, served := g.usage()
				if conns == 0 {
					qt.Assert(t, served, qt.Equals, tt.served)
					return
				}
				qt.Assert(t, time.Now().Before(end), qt.IsTrue)
			}
		})
	}
}

// Guards against work that isn't delayed, and against a delay that outlives its connection.
func TestDelayedWork(t *testing.T) {
	const delay = 100 * time.Millisecond
	w := newGuardedWorld(t, &testGuard{lines: 100, delay: delay})
	c := dial(t, w.addr)
	began := time.Now()
	c.get("/free")
	c.expect("/free")
	qt.Assert(t, time.Since(began) >= delay, qt.IsTrue)
}

// Guards against delayed connections that are kept after their callers have left, or whose rest is
// read for longer than the time for it.
func TestDelayedConnectionEnds(t *testing.T) {
	const request = "POST /free HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
	tests := []struct {
		name    string
		handler http.HandlerFunc
		close   bool
	}{
		{"body of a caller that has left", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, true},
		{"rest of a refused body", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := &testGuard{lines: 100, parts: time.Minute}
			cfg := testConfig()
			cfg.Guard, cfg.Handler = g, tt.handler
			w := newWorld(t, cfg)
			c := dial(t, w.addr)
			c.send(request + strings.Repeat("v", 8<<10))
			if tt.close {
				time.Sleep(50 * time.Millisecond) // the delay has begun
				c.Close()
			}
			for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
				if _, conns, _ := g.usage(); conns == 0 {
					return
				}
				qt.Assert(t, time.Now().Before(end), qt.IsTrue)
			}
		})
	}
}

// Guards against windows that end, and are charged no more, while their bytes are still unread.
func TestNarrowWithUnreadBytes(t *testing.T) {
	const buffer = 16 << 10
	resume := make(chan struct{})
	g := &testGuard{lines: 1000}
	cfg := testConfig()
	cfg.Guard = g
	cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			w.(Response).Widen(256 << 10)
			_, _ = io.Copy(io.Discard, r.Body)
		}
		<-resume
	})
	w := newWorld(t, cfg)
	c := dial(t, w.addr)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nv")
	head := "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("v", 7<<10) + "\r\n\r\n"
	for range 10 { // these wait for the first request
		c.send(head)
	}
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, g.act().Narrow(buffer), qt.IsFalse)
	close(resume)
	for range 11 {
		a, err := c.read(http.MethodGet)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, a.StatusCode, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, g.act().Narrow(buffer), qt.IsTrue)
}
