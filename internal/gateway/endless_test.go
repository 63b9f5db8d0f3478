package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// maxEndlessHead bounds what may be read of a head without end, with the buffers of the kernel.
const maxEndlessHead = 12 << 20

// Guards against targets whose bytes without end hold a request, a connection or memory.
func TestResponseWithoutEnd(t *testing.T) {
	tests := []struct {
		name   string
		kind   worker.Endless
		status int
		bounds bool // few bytes are read
	}{
		{"status line", worker.EndlessStatusLine, 502, true},
		{"header", worker.EndlessHeader, 502, true},
		{"interim responses", worker.EndlessInterim, 502, true},
		{"body", worker.EndlessBody, 200, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent", timeout: "600ms"})
			e := w.startEntry("a").waitReady()
			k := w.workers[0]
			k.SetFaults(func(r *http.Request) worker.Fault {
				if r.URL.Path == "/health" {
					return worker.Fault{}
				}
				return worker.Fault{Endless: tt.kind}
			})
			began := time.Now()
			resp, err := http.DefaultClient.Do(e.newRequest(context.Background(), "q-endless", http.MethodPost, "/a/x", ""))
			w.c.Assert(err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			w.c.Assert(resp.StatusCode, qt.Equals, tt.status)
			w.c.Assert(err != nil, qt.Equals, tt.status == 200) // cut at the timeout
			w.c.Assert(time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			w.waitFor("the end of the connection", func() bool { return k.EndlessBytes() > 0 })
			w.c.Assert(!tt.bounds || k.EndlessBytes() < maxEndlessHead, qt.IsTrue, qt.Commentf("%d bytes", k.EndlessBytes()))
			k.SetFaults(nil)
			w.c.Assert(e.call(http.MethodPost, "/a/x", "").status, qt.Equals, http.StatusOK)
		})
	}
}

// Guards against a refusal that is lost because its body ends early, stays out or has no end.
func TestRefusalIsKnownByItsHead(t *testing.T) {
	tests := []struct {
		name  string
		fault worker.Fault
	}{
		{"body ends early", worker.Fault{Shed: true, Cut: true}},
		{"body stays out", worker.Fault{Shed: true, NoResponse: true}},
		{"body without end", worker.Fault{Shed: true, Endless: worker.EndlessRefusal}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent", timeout: "2s"})
			e := w.startEntry("a").waitReady()
			w.workers[0].SetFaults(func(r *http.Request) worker.Fault {
				if r.URL.Path == "/health" {
					return worker.Fault{}
				}
				return tt.fault
			})
			a := e.call(http.MethodPost, "/a/x", "")
			w.c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable)
			w.c.Assert(a.took < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a.took))
			w.c.Assert(w.runs(a.id), qt.Equals, 0)
		})
	}
}

// Guards against a health check that takes other bytes for its response, and leaves the response to
// the next request on the connection.
func TestHealthCheckTakesNoOtherResponse(t *testing.T) {
	tests := []struct{ name, bytes string }{
		{"no instance", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		{"two instances", "HTTP/1.1 200 OK\r\nPlumpitch-Instance-Id: i-0\r\nPlumpitch-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n"},
		{"refusal", worker.StrayRefusal()},
		{"response to a request", worker.StraySuccess("another")},
		{"head of two responses", "HTTP/1.1 200 OK\r\nX-Cut: a"},
		{"blank behind the length", "HTTP/1.1 200 OK\r\nPlumpitch-Instance-Id: i-0\r\nContent-Length : 0\r\n\r\n"},
		{"blank behind a second length", "HTTP/1.1 200 OK\r\nPlumpitch-Instance-Id: i-0\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\nok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
			e := w.startEntry("a").waitReady()
			k := w.workers[0]
			w.c.Assert(e.call(http.MethodPost, "/a/x", "").status, qt.Equals, http.StatusOK)
			k.SetHealthDelay(100 * time.Millisecond)
			var once atomic.Bool
			k.SetFaults(func(r *http.Request) worker.Fault {
				if r.URL.Path == "/health" && once.CompareAndSwap(false, true) {
					return worker.Fault{Stray: tt.bytes}
				}
				return worker.Fault{}
			})
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			// One response may have been left on each connection.
			e.askHealth(ctx, slot.Target{ID: k.ID, Address: k.Address()}, "/health")
			w.c.Assert(e.call(http.MethodPost, "/a/x", "").status, qt.Equals, http.StatusOK)
		})
	}
}

// Guards against a target that counts as healthy by a response without end.
func TestHealthResponseWithoutEnd(t *testing.T) {
	for _, kind := range []worker.Endless{worker.EndlessStatusLine, worker.EndlessHeader, worker.EndlessInterim, worker.EndlessBody} {
		w := newWorld(t, worldConfig{targets: 1})
		e := w.startEntry("a").waitReady()
		k := w.workers[0]
		k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{Endless: kind} })
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		began := time.Now()
		state := e.askHealth(ctx, slot.Target{ID: k.ID, Address: k.Address()}, "/health")
		w.c.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("kind %d: %v", kind, time.Since(began)))
		w.c.Check(state, qt.Equals, targetClosing, qt.Commentf("kind %d", kind))
		w.waitFor("the end of the connection", func() bool { return k.EndlessBytes() > 0 })
		w.c.Check(k.EndlessBytes() < maxEndlessHead, qt.IsTrue, qt.Commentf("kind %d: %d bytes", kind, k.EndlessBytes()))
	}
}

// endlessServer sends a head and then the text again and again until its caller closes.
func endlessServer(t *testing.T, contentType, head, text string) (address string, sent *atomic.Int64) {
	sent = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n"+head)
		for block := strings.Repeat(text, 64<<10/len(text)); ; {
			n, err := io.WriteString(c, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://"), sent
}

// Guards against a store whose head without end fills the memory of an entry.
func TestStoreHeadWithoutEnd(t *testing.T) {
	c := qt.New(t)
	address, sent := endlessServer(t, "application/json", "", "X-Long: x\r\n")
	began := time.Now()
	_, err := storeClient().Get("http://" + address)
	c.Assert(err, qt.IsNotNil)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	time.Sleep(100 * time.Millisecond)
	c.Assert(sent.Load() < 8<<20, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}

// Guards against log lines that quote a target's bytes at length.
func TestCauseInTheLogIsShort(t *testing.T) {
	c := qt.New(t)
	c.Assert(logs.Short(errors.New("malformed response")).Error(), qt.Equals, "malformed response")
	c.Assert(len(logs.Short(errors.New(strings.Repeat("x", 60<<10))).Error()) < 1<<10, qt.IsTrue)
}

// Guards against a delegate whose head without end holds a request or fills memory.
func TestDelegateHeadWithoutEnd(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1, routeType: "non_idempotent"})
	e := w.startEntry("a").waitReady()
	address, sent := endlessServer(t, "text/plain", "", "X-Long: x\r\n")
	began := time.Now()
	rec, answered := passOnOne(e, owner.Entry{Name: "delegate", PeerAddress: address})
	w.c.Assert(answered, qt.IsTrue)
	w.c.Assert(rec.Code, qt.Equals, http.StatusBadGateway)
	w.c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	time.Sleep(100 * time.Millisecond)
	w.c.Assert(sent.Load() < maxEndlessHead, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}

// Guards against a store whose page without end fills the memory of an entry.
func TestStorePageWithoutEnd(t *testing.T) {
	c := qt.New(t)
	address, sent := endlessServer(t, "application/json", "\r\n{\"items\":[", " ")
	store := platform.NewStore(platform.StoreConfig{Address: address, HTTP: storeClient(), OnDecodeError: func(string, string, error) {}})
	began := time.Now()
	_, _, err := store.Targets().List(context.Background())
	c.Assert(err, qt.ErrorMatches, "list servers: response is longer than .*")
	c.Assert(time.Since(began) < 2*time.Second, qt.IsTrue)
	time.Sleep(100 * time.Millisecond)
	c.Assert(sent.Load() < 20<<20, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
}
