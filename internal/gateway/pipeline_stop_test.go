package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// writeGet writes a request without a body, with a key unless it is empty.
func (c *rawCaller) writeGet(path, id, key string) {
	c.writeRequest(http.MethodGet, path, id, key)
}

func (c *rawCaller) writeRequest(method, path, id, key string) {
	authorization := ""
	if key != "" {
		authorization = "Authorization: Bearer " + key + "\r\n"
	}
	c.write(fmt.Sprintf("%s %s HTTP/1.1\r\nHost: veil.example\r\nPlumpitch-Request-Id: %s\r\nPlumpitch-Request-Deadline: 5000\r\n%s\r\n", method, path, id, authorization))
}

// startPipelined starts an entry with an account whose key is k1, and targets that take this
// long for a request.
func startPipelined(t *testing.T, serviceTime time.Duration) (*world, *entry) {
	w := newWorld(t, worldConfig{targets: 3})
	w.configureAccounts(objects.Account{Name: "bride", Keys: []string{"k1", "k2"}})
	for _, k := range w.workers {
		k.SetServiceTime(serviceTime)
		k.Slots = 8
		w.writeTarget(k, "gowns", "ready")
	}
	return w, w.startEntry("a").waitReady()
}

// An entry is asked to stop while four requests of one connection are under way, or gets them
// on an idle connection shortly before or after it closes its port. Guards against a stop
// that drops some of them, and against a response that ends the connection before the last.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	for _, tt := range []struct {
		name   string
		delay  time.Duration // from the start of the stop to the requests; the port closes after 1.5 s
		closes bool          // the last response says that the connection ends
	}{
		{"under way at the start of the stop", -300 * time.Millisecond, false},
		{"under way at the shutdown", 1200 * time.Millisecond, true},
		{"after the port is closed", 1550 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w, e := startPipelined(t, 400*time.Millisecond)
			c := dialCaller(w, e)
			c.writeGet("/a/first", "first", "k1")
			w.c.Assert(c.read().StatusCode, qt.Equals, http.StatusOK)
			send := func() {
				for i := range 4 {
					c.writeGet(fmt.Sprint("/a/", i), fmt.Sprint("p-", i), "k1")
				}
			}
			if tt.delay < 0 {
				send()
				time.Sleep(-tt.delay)
			}
			e.stop()
			if tt.delay >= 0 {
				time.Sleep(tt.delay)
				send()
			}
			for i := range 4 {
				r := c.read()
				w.c.Assert(r.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d: %v", i, r.Header))
				w.c.Assert(r.Header.Get("Plumpitch-Request-Id"), qt.Equals, fmt.Sprint("p-", i))
				w.c.Assert(r.Close, qt.Equals, tt.closes && i == 3)
			}
			w.c.Assert(<-e.done, qt.IsNil)
			for i := range 4 {
				w.c.Assert(w.runs(fmt.Sprint("p-", i)), qt.Equals, 1)
			}
		})
	}
}

// A caller closes its connection while four of its requests run and a fifth waits for them.
// Guards against runs that targets go on with, and a fifth request that runs afterwards.
func TestCallerClosesWithPipelinedRequests(t *testing.T) {
	w, e := startPipelined(t, time.Second)
	c := dialCaller(w, e)
	for i := range 4 {
		c.writeGet(fmt.Sprint("/a/", i), fmt.Sprint("p-", i), "k1")
	}
	c.writeRequest(http.MethodPost, "/o/x", "behind", "k1")
	w.waitFor("four runs", func() bool { return len(w.allRuns()) == 4 })
	closedAt := time.Now()
	c.Close()
	w.waitFor("all targets see the close", func() bool {
		for _, r := range w.allRuns() {
			if r.CallerLeftAt.IsZero() {
				return false
			}
		}
		return true
	})
	w.c.Assert(time.Since(closedAt) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(closedAt)))
	time.Sleep(1200 * time.Millisecond)
	w.c.Assert(w.allRuns(), qt.HasLen, 4)
	w.c.Assert(w.runs("behind"), qt.Equals, 0)
}

// A key is taken away between two requests of one connection while the first still runs.
// Guards against a connection that keeps the account of its first request.
func TestKeyRevokedOnPipelinedConnection(t *testing.T) {
	w, e := startPipelined(t, 300*time.Millisecond)
	c := dialCaller(w, e)
	c.writeGet("/a/1", "before", "k1")
	w.waitFor("the run", func() bool { return w.runs("before") == 1 })
	w.configureAccounts(objects.Account{Name: "bride", Keys: []string{"k2"}})
	e.waitReady()
	c.writeGet("/a/2", "after", "k1")
	c.writeGet("/a/3", "other", "k2")
	for _, want := range []int{http.StatusOK, http.StatusUnauthorized, http.StatusOK} {
		w.c.Assert(c.read().StatusCode, qt.Equals, want)
	}
	w.c.Assert(w.runs("after"), qt.Equals, 0)
	w.c.Assert(w.runs("other"), qt.Equals, 1)
}

// An isolated entry is the issuer of a limited account in its own view. Guards against one
// that still runs the account's requests, answers 429 although the limit is not known to be
// used up, or keeps its callers by the directory.
func TestIsolatedIssuer(t *testing.T) {
	for _, tt := range []struct {
		name              string
		rate              float64
		status, directory int
	}{
		{"limited", 5, http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		{"not limited", 0, http.StatusOK, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1})
			w.configureAccounts(objects.Account{Name: "bride", Keys: []string{"k1"}, Rate: tt.rate, Burst: tt.rate})
			for _, e := range startIsolatedEntries(w, 2) {
				rec := httptest.NewRecorder()
				e.auxHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/resolve?host=veil.example&region=metro", nil))
				w.c.Assert(rec.Code, qt.Equals, tt.directory)
				before := w.arrivals()
				r := e.callWithKey("/a/1", "k1")
				w.c.Assert(r.err, qt.IsNil)
				w.c.Assert(r.status, qt.Equals, tt.status)
				w.c.Assert(w.arrivals() > before, qt.Equals, tt.status == http.StatusOK)
				w.c.Assert(r.header.Get("Retry-After") != "", qt.Equals, tt.status != http.StatusOK)
			}
		})
	}
}

// Requests that have to wait for earlier ones of their connection come while the entry stops. Guards
// against a response that ends the connection although requests behind it have been read.
func TestStopAnswersRequestsThatWaitForTheirTurn(t *testing.T) {
	for _, tt := range []struct {
		name    string
		delay   time.Duration // from the start of the stop to the requests; the port closes after 1.5 s
		methods []string
		key     string
	}{
		{"while callers use the address", 300 * time.Millisecond, []string{"GET", "POST", "GET", "GET", "POST"}, "k1"},
		{"before the port closes", 1300 * time.Millisecond, []string{"GET", "POST", "GET"}, "k1"},
		{"just after the port is closed", 1550 * time.Millisecond, []string{"GET", "POST"}, "k1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w, e := startPipelined(t, 250*time.Millisecond)
			c := dialCaller(w, e)
			paths := map[string]string{"GET": "/a/", "POST": "/o/"}
			for i := range 8 {
				m := []string{"GET", "POST"}[i%2]
				c.writeRequest(m, paths[m], fmt.Sprint("first-", i), tt.key)
				w.c.Assert(c.read().StatusCode, qt.Equals, http.StatusOK)
			}
			e.stop()
			time.Sleep(tt.delay)
			for i, m := range tt.methods {
				c.writeRequest(m, paths[m], fmt.Sprint("p-", i), tt.key)
			}
			for i := range tt.methods {
				r, err := http.ReadResponse(c.reader, nil)
				w.c.Assert(err, qt.IsNil, qt.Commentf("request %d, %d runs", i, w.runs(fmt.Sprint("p-", i))))
				_, err = io.Copy(io.Discard, r.Body)
				w.c.Assert(err, qt.IsNil)
				w.c.Check(r.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d: %v", i, r.Header))
				w.c.Check(r.Close, qt.Equals, i == len(tt.methods)-1, qt.Commentf("request %d: %v", i, r.Header))
			}
			w.c.Assert(<-e.done, qt.IsNil)
		})
	}
}
