package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
)

// patience bounds each wait for something that must happen.
const patience = 10 * time.Second

// world is a server on loopback with a handler whose requests the test steers by path.
type world struct {
	t      *testing.T
	server *Server
	addr   string
	logs   *memory.Handler

	mu      sync.Mutex
	changed *sync.Cond
	gates   map[string]chan struct{}
	opened  bool // openAll has been called
	started []string
	ended   []string // requests whose context has ended before the handler returned
}

// constant returns a setting that doesn't change.
func constant[T any](value T) func() T { return func() T { return value } }

func testConfig() Config {
	return Config{
		Concurrent:    func(r *http.Request) bool { return r.Method == http.MethodGet },
		HeaderTimeout: constant(patience), ReadTimeout: patience, IdleTimeout: constant(patience),
		MaxHeaderBytes: constant(8 << 10), MaxRequests: 8, MaxWaitingBytes: 64 << 10,
	}
}

func newWorld(t *testing.T, cfg Config) *world {
	w := &world{t: t, logs: memory.New(), gates: make(map[string]chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(w.serve)
	}
	cfg.Log = &log.Logger{Handler: w.logs, Level: log.DebugLevel}
	w.server = New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	w.addr = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- w.server.Serve(l) }()
	t.Cleanup(func() {
		w.openAll()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = w.server.Shutdown(ctx)
		qt.Check(t, <-served, qt.Equals, http.ErrServerClosed)
	})
	return w
}

// serve answers with the path, after the gate of the path has been opened or the request
// cancelled. Paths that begin with /free have no gate.
func (w *world) serve(rw http.ResponseWriter, r *http.Request) {
	w.note(&w.started, r.URL.Path)
	if !strings.HasPrefix(r.URL.Path, "/free") {
		select {
		case <-w.gate(r.URL.Path):
		case <-r.Context().Done():
			w.note(&w.ended, r.URL.Path)
			if r.URL.Query().Has("return") {
				return
			}
			panic(http.ErrAbortHandler)
		}
	}
	q := r.URL.Query()
	if q.Has("abort") {
		panic(http.ErrAbortHandler)
	}
	if q.Has("close") {
		rw.Header().Set("Connection", "close")
	}
	if n := q.Get("size"); n != "" {
		var size int
		fmt.Sscan(n, &size)
		rw.Header().Set("Content-Length", n)
		_, _ = rw.Write(make([]byte, size))
		return
	}
	if q.Has("cut") {
		_, _ = io.WriteString(rw, strings.Repeat("x", 5000))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(rw, r.URL.Path)
}

func (w *world) note(list *[]string, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, path)
	w.changed.Broadcast()
}

func (w *world) gate(path string) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gates[path] == nil {
		w.gates[path] = make(chan struct{})
		if w.opened {
			close(w.gates[path])
		}
	}
	return w.gates[path]
}

func (w *world) open(path string) { close(w.gate(path)) }

// openAll opens all gates, also those of requests that come later.
func (w *world) openAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opened = true
	for _, g := range w.gates {
		select {
		case <-g:
		default:
			close(g)
		}
	}
}

// snapshot returns a copy of a list.
func (w *world) snapshot(list *[]string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), *list...)
}

// await waits until a list has n elements, and returns it.
func (w *world) await(list *[]string, n int) []string {
	w.t.Helper()
	return w.awaitFor(list, func(l []string) bool { return len(l) >= n })
}

func (w *world) awaitFor(list *[]string, ok func([]string) bool) []string {
	w.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		l := w.snapshot(list)
		if ok(l) {
			return l
		}
		if time.Now().After(end) {
			w.t.Fatalf("still %q", l)
		}
	}
}

// caller is a raw connection.
type caller struct {
	t *testing.T
	*net.TCPConn
	br *bufio.Reader
}

func dial(t *testing.T, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * patience))
	return &caller{t: t, TCPConn: c.(*net.TCPConn), br: bufio.NewReader(c)}
}

func (c *caller) send(s string) {
	c.t.Helper()
	_, err := io.WriteString(c, s)
	qt.Assert(c.t, err, qt.IsNil)
}

// get sends GET requests in one write.
func (c *caller) get(targets ...string) {
	c.t.Helper()
	var b strings.Builder
	for _, p := range targets {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", p)
	}
	c.send(b.String())
}

// answer is a response with its body.
type answer struct {
	*http.Response
	body string
}

// read reads a response; the error tells why there is no complete one.
func (c *caller) read(method string) (answer, error) {
	r, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	b, err := io.ReadAll(r.Body)
	return answer{r, string(b)}, err
}

// expect reads responses with the given bodies.
func (c *caller) expect(bodies ...string) (last answer) {
	c.t.Helper()
	for _, b := range bodies {
		a, err := c.read(http.MethodGet)
		qt.Assert(c.t, err, qt.IsNil)
		qt.Assert(c.t, a.body, qt.Equals, b)
		last = a
	}
	return last
}

// expectEnd asserts that nothing follows before the end of the connection.
func (c *caller) expectEnd() {
	c.t.Helper()
	b, err := io.ReadAll(c.br)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, string(b), qt.Equals, "")
}
