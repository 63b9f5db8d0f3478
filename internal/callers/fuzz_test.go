package callers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fragments are the parts of the streams. Numbers in paths make requests distinct.
var fragments = []string{
	"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /%d/slow HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /%d/close HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /%d/long HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n",
	"POST /%d/unread HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n",
	"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
	"POST /%d/slow HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
	"GET /%d HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"PUT /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
	"abcde", "5\r\nabcde\r\n", "0\r\n\r\n", "0\r\nX: 1\r\n\r\n", "\r\n", "GET ", "Host: h\r\n", "Content-Length: 3\r\n\r\n",
}

// buildStream turns each byte of data into a fragment, or into itself if there is none.
func buildStream(data []byte) string {
	var b strings.Builder
	for i, k := range data {
		switch {
		case int(k) >= len(fragments):
			b.WriteByte(k)
		case strings.Contains(fragments[k], "%d"):
			fmt.Fprintf(&b, fragments[k], i)
		default:
			b.WriteString(fragments[k])
		}
	}
	return b.String()
}

// describe returns what identifies a request, without a body that its handler doesn't read.
func describe(method, uri string, body []byte) string {
	if strings.HasSuffix(uri, "/unread") {
		body = nil
	}
	return fmt.Sprintf("%s %s %q", method, uri, body)
}

// parseStream returns the requests that http.ReadRequest finds in a stream.
func parseStream(s string) (requests []*http.Request, want []string) {
	br := bufio.NewReader(strings.NewReader(s))
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return requests, want
		}
		body, err := io.ReadAll(r.Body)
		requests, want = append(requests, r), append(want, describe(r.Method, r.RequestURI, body))
		if err != nil {
			return requests, want
		}
	}
}

// fuzzWorld records the requests that its handler got and those whose body was cut.
type fuzzWorld struct {
	*world
	mu      sync.Mutex
	calls   []string
	aborted int
}

func newFuzzWorld(t *testing.T) *fuzzWorld {
	f := &fuzzWorld{}
	cfg := testConfig()
	cfg.MaxRequests, cfg.MaxWaitingBytes = 4, 5000
	cfg.HeaderTimeout, cfg.ReadTimeout = constant(100*time.Millisecond), 100*time.Millisecond
	cfg.IdleTimeout = func() time.Duration { return 100 * time.Millisecond }
	cfg.Handler = http.HandlerFunc(f.serve)
	f.world = newWorld(t, cfg)
	return f
}

func (f *fuzzWorld) serve(w http.ResponseWriter, r *http.Request) {
	var body []byte
	var err error
	if !strings.HasSuffix(r.URL.Path, "/unread") {
		body, err = io.ReadAll(r.Body)
	}
	d := describe(r.Method, r.RequestURI, body)
	f.mu.Lock()
	f.calls = append(f.calls, d)
	if err != nil {
		f.aborted++
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/slow"):
		time.Sleep(time.Millisecond)
	case strings.HasSuffix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	case strings.HasSuffix(r.URL.Path, "/long"):
		d += strings.Repeat(".", 4000)
	}
	_, _ = io.WriteString(w, d)
}

// check sends a stream and compares the handler's requests and the responses with the
// requests in the stream.
func (f *fuzzWorld) check(t *testing.T, stream string) {
	f.mu.Lock()
	f.calls, f.aborted = nil, 0
	f.mu.Unlock()
	requests, want := parseStream(stream)
	c := dial(t, f.addr)
	go func() { _, _ = io.WriteString(c, stream) }()
	answered := 0
	for {
		method := http.MethodGet
		if answered < len(requests) {
			method = requests[answered].Method
		}
		a, err := c.read(method)
		if err != nil {
			break
		}
		if a.StatusCode == http.StatusOK {
			qt.Assert(t, answered < len(want), qt.IsTrue, qt.Commentf("%q", stream))
			qt.Assert(t, strings.TrimRight(a.body, "."), qt.Equals, want[answered], qt.Commentf("%q", stream))
			answered++
		}
	}
	c.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, len(f.calls) <= len(want), qt.IsTrue, qt.Commentf("%q: %q", stream, f.calls))
	qt.Assert(t, len(f.calls), qt.Equals, answered+f.aborted, qt.Commentf("%q: %q", stream, f.calls))
	want = want[:len(f.calls)]
	slices.Sort(want)
	slices.Sort(f.calls)
	qt.Assert(t, f.calls, qt.DeepEquals, want, qt.Commentf("%q", stream))
}

// Guards against handler calls for bytes that are no request, responses out of order, and
// requests that ran without a response.
func FuzzStreams(f *testing.F) {
	for _, seed := range [][]byte{{0, 1, 0, 3, 0}, {4, 11, 0, 0}, {6, 12, 13, 1, 0}, {1, 2, 0, 0, 0, 0, 0}, {10, 12, 13, 0}, {5, 11, 5, 11, 0}, {0, 7, 11, 8, 9, 0}, {0, 16, 0}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 40 {
			t.Skip()
		}
		newFuzzWorld(t).check(t, buildStream(data))
	})
}

// Guards against the same with fixed random streams, which are longer than what a short
// fuzzing run finds.
func TestRandomStreams(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newFuzzWorld(t)
			r := rand.New(rand.NewPCG(seed, 0))
			for range 15 {
				data := make([]byte, r.IntN(30))
				for i := range data {
					data[i] = byte(r.IntN(len(fragments)))
					if r.IntN(2) == 0 {
						data[i] = byte(r.IntN(4))
					}
					if i > 0 && data[i-1] >= 4 && data[i-1] <= 7 {
						data[i] = 11 // a body that fits
						if data[i-1] == 6 {
							data[i] = 12
						}
					}
				}
				w.check(t, buildStream(data))
			}
		})
	}
}
