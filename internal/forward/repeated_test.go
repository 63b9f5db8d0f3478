package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const idHeader = "X-Request-Id"

// responseWith returns a response with a request ID.
func responseWith(status, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, idHeader, id, len(body), body)
}

// copyingTarget refuses each request when it arrives for the first time and runs it when it arrives
// again. A connection that carries an ID again also sends a copy of the first response to it.
type copyingTarget struct {
	*rawTarget
	first  func(id string) string                       // first response
	answer func(p *targetConn, copied, response string) // sends both when an ID is repeated on a connection
	idle   func(p *targetConn, copied string)           // called after a first response; may be nil

	mu       sync.Mutex
	arrivals map[string]int
	repeated int // requests whose ID their connection had carried before
	bodies   map[string]string
}

func newCopyingTarget(t testing.TB, first func(id string) string) *copyingTarget {
	k := &copyingTarget{first: first, arrivals: make(map[string]int), bodies: make(map[string]string)}
	k.answer = func(p *targetConn, copied, response string) { p.write(copied + response) }
	k.rawTarget = newRaw(t, k.serve)
	return k
}

func (k *copyingTarget) serve(p *targetConn) {
	carried := make(map[string]bool)
	for {
		r, err := http.ReadRequest(p.br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(idHeader)
		k.mu.Lock()
		k.arrivals[id]++
		k.bodies[id] = string(body)
		arrivals, again := k.arrivals[id], carried[id]
		if again {
			k.repeated++
		}
		k.mu.Unlock()
		carried[id] = true
		response := responseWith("200 OK", id, "ran "+id)
		switch {
		case arrivals == 1:
			p.write(k.first(id))
			if k.idle != nil {
				k.idle(p, k.first(id))
			}
		case again:
			k.answer(p, k.first(id), response)
		default:
			p.write(response)
		}
	}
}

// identified returns the parameters of a POST with an ID.
func (k *copyingTarget) identified(id, body string) DispatchParams {
	r := httptest.NewRequest("POST", "/deposit", nil)
	r.Header.Set(idHeader, id)
	p := DispatchParams{Target: k.addr(), Request: r, Timeout: waitLimit}
	if body != "" {
		p.Body = [][]byte{[]byte(body)}
	}
	return p
}

// newEchoForwarder returns a forwarder whose targets echo the caller's ID.
func newEchoForwarder(t testing.TB, cfg Config) *Forwarder {
	cfg.EchoHeader = idHeader
	cfg.IsRefusal = func(status int, _ http.Header) bool {
		return status >= http.StatusBadRequest && status != http.StatusInternalServerError
	}
	f := New(cfg)
	t.Cleanup(f.Close)
	return f
}

// dispatchTwice sends requests and sends each of them again at once. It checks that the second one gets
// its own response, or none.
func dispatchTwice(c *qt.C, f *Forwarder, k *copyingTarget, params func(id string) DispatchParams, between func()) {
	const rounds = 20
	for i := range rounds {
		id := fmt.Sprint("q-", i)
		if resp, _ := f.Dispatch(context.Background(), params(id)); resp != nil {
			resp.Close()
		}
		if between != nil {
			between()
		}
		resp, fail := f.Dispatch(context.Background(), params(id))
		c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		c.Check(resp.Status, qt.Equals, http.StatusOK)
		c.Check(string(resp.Buffered), qt.Equals, "ran "+id)
		resp.Close()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c.Check(k.repeated, qt.Equals, 0)
}

// copies are first responses, of which a copy arrives later.
var copies = []struct {
	name string
	of   func(id string) string
}{
	{"503", func(id string) string { return responseWith("503 Service Unavailable", id, "") }},
	{"503 with a body", func(id string) string { return responseWith("503 Service Unavailable", id, "refused") }},
	{"429", func(id string) string { return responseWith("429 Too Many Requests", id, "") }},
	{"421", func(id string) string { return responseWith("421 Misdirected Request", id, "") }},
	{"408", func(id string) string { return responseWith("408 Request Timeout", id, "") }},
	{"500", func(id string) string { return responseWith("500 Internal Server Error", id, "failed") }},
	{"200", func(id string) string { return responseWith("200 OK", id, "ran before") }},
}

// Guards against a copy of the response to a request that is taken for the response to its repeat,
// which runs: a refusal that is no longer true, or an older result.
func TestCopyOfResponseToSameID(t *testing.T) {
	pause := func() { time.Sleep(2 * time.Millisecond) }
	moments := []struct {
		name    string
		answer  func(p *targetConn, copied, response string)
		idle    func(p *targetConn, copied string)
		between func()
	}{
		{"before the response", func(p *targetConn, copied, response string) { p.write(copied + response) }, nil, nil},
		{"long before the response", func(p *targetConn, copied, response string) {
			p.write(copied)
			pause()
			p.write(response)
		}, nil, nil},
		{"in two packets", func(p *targetConn, copied, response string) {
			half := len(copied) / 2
			p.write(copied[:half])
			pause()
			p.write(copied[half:] + response)
		}, nil, nil},
		{"partial", func(p *targetConn, copied, response string) { p.write(copied[:len(copied)-2] + response) }, nil, nil},
		{"within the body", func(p *targetConn, copied, response string) {
			p.write(response[:len(response)-2])
			pause()
			p.write(copied + response[len(response)-2:])
		}, nil, nil},
		{"after the response", func(p *targetConn, copied, response string) { p.write(response + copied) }, nil, nil},
		{"on an idle connection", nil, func(p *targetConn, copied string) {
			pause()
			p.write(copied)
		}, func() { time.Sleep(10 * time.Millisecond) }},
		{"while the repeat is sent", nil, func(p *targetConn, copied string) {
			time.Sleep(50 * time.Microsecond)
			p.write(copied)
		}, nil},
		{"idle, in two packets", nil, func(p *targetConn, copied string) {
			p.write(copied[:9])
			pause()
			p.write(copied[9:])
		}, nil},
	}
	for _, m := range moments {
		for _, tt := range copies {
			t.Run(m.name+"/"+tt.name, func(t *testing.T) {
				t.Parallel()
				k := newCopyingTarget(t, tt.of)
				if m.answer != nil {
					k.answer = m.answer
				}
				k.idle = m.idle
				f := newEchoForwarder(t, Config{})
				dispatchTwice(qt.New(t), f, k, func(id string) DispatchParams { return k.identified(id, "veil") }, m.between)
			})
		}
	}
}

// Guards against a connection that carries an ID again whatever the body is, and against a
// caller's body that is lost when another connection is used.
func TestRepeatedIDUsesAnotherConnection(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	streamed := func(p *DispatchParams, body string, length int64) {
		p.Body, p.Stream, p.Length = nil, strings.NewReader(body), length
	}
	tests := []struct {
		name, body string
		edit       func(p *DispatchParams)
	}{
		{"no body", "", nil},
		{"body", "veil", nil},
		{"large body", large, nil},
		{"stream", "veil", func(p *DispatchParams) { streamed(p, "veil", 4) }},
		{"stream of unknown length", "veil", func(p *DispatchParams) { streamed(p, "veil", -1) }},
		{"large stream", large, func(p *DispatchParams) { streamed(p, large, int64(len(large))) }},
		{"GET", "", func(p *DispatchParams) { p.Request.Method = "GET" }},
		{"idempotency key", "veil", func(p *DispatchParams) { p.Request.Header.Set("Idempotency-Key", "k") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			k := newCopyingTarget(t, copies[0].of)
			f := newEchoForwarder(t, Config{MaxConns: 1})
			dispatchTwice(c, f, k, func(id string) DispatchParams {
				p := k.identified(id, tt.body)
				if tt.edit != nil {
					tt.edit(&p)
				}
				return p
			}, nil)
			for _, body := range k.bodies {
				c.Assert(body, qt.Equals, tt.body)
			}
		})
	}
}

// Guards against refusals that cost their connection when no request is repeated on it.
func TestRefusalKeepsConnection(t *testing.T) {
	c := qt.New(t)
	k := newCopyingTarget(t, copies[0].of)
	f := newEchoForwarder(t, Config{})
	for i := range 100 {
		resp, fail := f.Dispatch(context.Background(), k.identified(fmt.Sprint("q-", i), "veil"))
		c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		c.Assert(resp.Status, qt.Equals, http.StatusServiceUnavailable)
		resp.Close()
	}
	c.Assert(k.conns.Load(), qt.Equals, int64(1))
}

// Guards against repeats that fail because all idle connections have carried their ID.
func TestAllConnectionsCarriedID(t *testing.T) {
	const conns = 12
	c := qt.New(t)
	var arrived, release sync.WaitGroup
	arrived.Add(conns)
	release.Add(1)
	k := newCopyingTarget(t, nil)
	k.first = func(id string) string { return responseWith("503 Service Unavailable", id, "") }
	held := newRaw(t, func(p *targetConn) {
		for r := p.request(); r != nil; r = p.request() {
			if r.URL.Path == "/held" {
				arrived.Done()
				release.Wait()
			}
			p.write(responseWith("200 OK", r.Header.Get(idHeader), "ran"))
		}
	})
	f := newEchoForwarder(t, Config{MaxConns: conns})
	params := func(path string) DispatchParams {
		p := k.identified("q", "veil")
		p.Target, p.Request.URL.Path = held.addr(), path
		return p
	}
	var done sync.WaitGroup
	for range conns {
		done.Go(func() {
			_, fail := f.Dispatch(context.Background(), params("/held"))
			c.Check(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		})
	}
	arrived.Wait()
	release.Done()
	done.Wait()
	resp, fail := f.Dispatch(context.Background(), params("/again"))
	c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
	c.Assert(resp.Status, qt.Equals, http.StatusOK)
	c.Assert(held.conns.Load(), qt.Equals, int64(conns+1))
}
