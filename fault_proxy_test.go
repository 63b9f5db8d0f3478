package main

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// connFault is a fault that a faultProxy injects into the connection of one request.
type connFault struct {
	closeEarly    bool // close the connection without forwarding the request
	responseBytes int  // number of response bytes to forward before the fault
	stall         bool // keep the connection open but silent instead of closing it
}

// faultProxy is a TCP proxy between the entries and a target. It can inject a fault into
// the connection of the next deposit request.
type faultProxy struct {
	addr      string
	target    string
	nextFault atomic.Pointer[connFault] // fault of the next request to /deposits
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	p := &faultProxy{addr: l.Addr().String(), target: target}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.proxy(in)
		}
	}()
	return p
}

// proxyConn is one connection through a faultProxy.
type proxyConn struct {
	proxy     *faultProxy
	in, out   net.Conn
	mu        sync.Mutex
	fault     *connFault // fault of the response in progress, or nil
	remaining int        // bytes of that response that are still forwarded
}

func (p *faultProxy) proxy(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	c := &proxyConn{proxy: p, in: in, out: out}
	go c.copyResponses()
	c.copyRequests()
}

func (c *proxyConn) copyRequests() {
	buf := make([]byte, 64<<10)
	for {
		n, err := c.in.Read(buf)
		if err != nil {
			return
		}
		if bytes.Contains(buf[:n], []byte(" /deposits")) {
			if f := c.proxy.nextFault.Swap(nil); f != nil {
				if f.closeEarly {
					return
				}
				c.mu.Lock()
				c.fault, c.remaining = f, f.responseBytes
				c.mu.Unlock()
			}
		}
		if _, err := c.out.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (c *proxyConn) copyResponses() {
	defer c.in.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := c.out.Read(buf)
		if err != nil {
			return
		}
		c.mu.Lock()
		f, forward := c.fault, n
		if f != nil {
			forward = min(n, c.remaining)
			c.remaining -= forward
		}
		c.mu.Unlock()
		if _, err := c.in.Write(buf[:forward]); err != nil {
			return
		}
		if f != nil && forward < n && !f.stall {
			return
		}
	}
}

// The connection between an entry and a target is closed before the request, or is closed
// or stalls before or within the response. An idempotent request must get a complete
// response by a retry, unless the connection stalls: then the request times out. The caller
// of a request that timed out or is keyed must get the outcome unknown, or ran if the request
// ran, and never a partial response as a complete one. A resend of the key must not run it
// again.
func TestOutcomeAfterConnectionFault(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newStore(t)
	var proxies []*faultProxy
	for n := range 2 {
		p := newFaultProxy(t, s.startTarget(t, time.Millisecond).addrs[0])
		s.registerVM(t, targetName(n), p.addr)
		proxies = append(proxies, p)
	}
	s.startEntries(t, 3)
	code, out := s.runCommand(t, 0, "settings", "set", servicePath, "timeout", "1s", "--wait")
	q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	s.fillRetryBudgets(t)
	for _, c := range []struct {
		name  string
		fault connFault
		runs  int // expected runs of the keyed request with the fault
	}{
		{"closed before the request", connFault{closeEarly: true}, 0},
		{"closed before the response", connFault{responseBytes: 0}, 1},
		{"closed in the header", connFault{responseBytes: 20}, 1},
		{"closed in the body", connFault{responseBytes: 170}, 1},
		{"silent before the response", connFault{responseBytes: 0, stall: true}, 1},
		{"silent in the body", connFault{responseBytes: 170, stall: true}, 1},
	} {
		for n, p := range proxies {
			comment := qt.Commentf("%s, proxy %d", c.name, n)
			_, id, a := s.sendUntilFault(t, p, c.fault, http.MethodGet)
			if c.fault.stall {
				q.Check(consistentOutcome(a, 1), qt.IsTrue, qt.Commentf("%s, proxy %d: %+v", c.name, n, a))
			} else {
				q.Check(a.complete(id), qt.IsTrue, qt.Commentf("%s, proxy %d: %+v", c.name, n, a))
			}
			path, id, a := s.sendUntilFault(t, p, c.fault, http.MethodPost)
			q.Check(consistentOutcome(a, c.runs), qt.IsTrue, qt.Commentf("%s, proxy %d: %+v", c.name, n, a))
			q.Check(s.runs(t)[id], qt.Equals, c.runs, comment)
			for n := range s.entries {
				again := s.send(n, http.MethodPost, path, id, 3*time.Second)
				q.Check(consistentOutcome(again, c.runs), qt.IsTrue, qt.Commentf("%s, sent again: %+v", c.name, again))
			}
			q.Check(s.runs(t)[id], qt.Equals, c.runs, comment)
		}
	}
}

// consistentOutcome reports whether the outcome of a request without a complete response
// agrees with its runs. The entry dispatched the request, so it can't know that it was not
// run.
func consistentOutcome(a callResult, runs int) bool {
	return a.outcome == call.Unknown.String() || a.outcome == call.Ran.String() && runs == 1
}

// fillRetryBudgets sends enough requests for each entry to have some retries left. The
// retry budget is a share of the first dispatches and is empty at the start.
func (c *cluster) fillRetryBudgets(t *testing.T) {
	t.Helper()
	for n := range c.entries {
		stream := c.startStream(n)
		eventually(t, "an entry has a retry budget", func() bool { return stream.sent.Load() >= 300 })
		qt.Assert(t, stream.stopAndWait(), qt.HasLen, 0)
	}
}

// faultSendPause is the pause between the requests of sendUntilFault. If an earlier fault
// has ejected the target, it takes some seconds until the target gets a trial request.
const faultSendPause = 5 * time.Millisecond

// sendUntilFault sends requests, each to a different path, until one gets the fault. It
// returns the path, the id and the result of that request. All others must get a complete
// response.
func (c *cluster) sendUntilFault(t *testing.T, p *faultProxy, fault connFault, method string) (path, id string, a callResult) {
	t.Helper()
	p.nextFault.Store(&fault)
	end := time.Now().Add(waitLimit)
	for n := 0; time.Now().Before(end); n++ {
		id = newKey()
		path = "/deposits/" + id
		a = c.send(n%len(c.entries), method, path, id, 5*time.Second)
		if p.nextFault.Load() == nil {
			return path, id, a
		}
		qt.Assert(t, a.complete(id), qt.IsTrue, qt.Commentf("%+v", a))
		time.Sleep(faultSendPause)
	}
	t.Fatalf("no request got the fault of the proxy %s", p.addr)
	return path, id, a
}
