package callers

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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

// Guards against requests that a shutdown cuts off without a record, and against a record of those
// that have their response, or whose caller has gone.
func TestShutdownReportsCutRequests(t *testing.T) {
	var mu sync.Mutex
	var cut []string
	answered := make(chan struct{})
	cfg := testConfig()
	var w *world
	cfg.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/answered" {
			rw.Header().Set("Content-Length", "0")
			rw.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(rw).Flush()
			close(answered)
			<-r.Context().Done()
			return
		}
		w.serve(rw, r)
	})
	cfg.OnCut = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		cut = append(cut, r.URL.Path)
	}
	w = newWorld(t, cfg)
	dial(t, w.addr).get("/a", "/b")
	dial(t, w.addr).get("/answered")
	gone := dial(t, w.addr)
	gone.get("/gone")
	w.await(&w.started, 3)
	<-answered
	gone.Close()
	time.Sleep(10 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	qt.Assert(t, w.server.Shutdown(ctx), qt.Equals, context.DeadlineExceeded)
	mu.Lock()
	defer mu.Unlock()
	qt.Assert(t, cut, qt.DeepEquals, []string{"/a", "/b"})
}

// A caller always has several requests under way while the server shuts down. Guards against a
// connection that goes on until the shutdown gives up, and against a request that begins and gets no
// response.
func TestShutdownEndsPipelines(t *testing.T) {
	for _, part := range []int{3, 7, 19} {
		checkShutdownEndsPipelines(t, part)
	}
}

// checkShutdownEndsPipelines sends requests in parts of this many bytes.
func checkShutdownEndsPipelines(t *testing.T, part int) {
	const work, gap = 40 * time.Millisecond, 2 * time.Millisecond
	var began atomic.Int64
	cfg := testConfig()
	cfg.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		began.Add(1)
		time.Sleep(work)
	})
	w := newWorld(t, cfg)
	c := dial(t, w.addr)
	go func() { // until the connection ends; parts of requests are on the way all the time
		const requests = "GET /a HTTP/1.1\r\nHost: h\r\nX-Field: value\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
		for err := error(nil); err == nil; {
			for i := 0; i < len(requests) && err == nil; i += part {
				time.Sleep(gap)
				_, err = io.WriteString(c, requests[i:min(i+part, len(requests))])
			}
		}
	}()
	done := make(chan error, 1)
	var downAt time.Time
	time.AfterFunc(2*work, func() {
		downAt = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		done <- w.server.Shutdown(ctx)
	})
	answered := int64(0)
	for closed := false; !closed; answered++ {
		r, err := c.read(http.MethodGet)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.StatusCode, qt.Equals, http.StatusOK)
		closed = r.Close
	}
	c.Close()
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, time.Since(downAt) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(downAt)))
	qt.Assert(t, began.Load(), qt.Equals, answered)
}
