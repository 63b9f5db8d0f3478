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

// cut is what a relay does to one request. The zero value does nothing.
type cut struct {
	before bool // closes instead of passing the request on
	after  int  // bytes of the answer that are passed on
	stall  bool // then the connection stays open and silent, else it is closed
}

// relay passes bytes between an entry and a target, and cuts a request's
// connection when it is told to.
type relay struct {
	addr   string
	target string
	next   atomic.Pointer[cut] // for the next request to a deposit
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	r := &relay{addr: l.Addr().String(), target: target}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(in)
		}
	}()
	return r
}

// link is one connection through a relay.
type link struct {
	relay   *relay
	in, out net.Conn
	mu      sync.Mutex
	cut     *cut // of the answer in progress
	left    int  // bytes of it that still pass
}

func (r *relay) pass(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer out.Close()
	l := &link{relay: r, in: in, out: out}
	go l.answers()
	l.requests()
}

func (l *link) requests() {
	buf := make([]byte, 64<<10)
	for {
		n, err := l.in.Read(buf)
		if err != nil {
			return
		}
		if bytes.Contains(buf[:n], []byte(" /deposits")) {
			if c := l.relay.next.Swap(nil); c != nil {
				if c.before {
					return
				}
				l.mu.Lock()
				l.cut, l.left = c, c.after
				l.mu.Unlock()
			}
		}
		if _, err := l.out.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (l *link) answers() {
	defer l.in.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := l.out.Read(buf)
		if err != nil {
			return
		}
		l.mu.Lock()
		c, pass := l.cut, n
		if c != nil {
			pass = min(n, l.left)
			l.left -= pass
		}
		l.mu.Unlock()
		if _, err := l.in.Write(buf[:pass]); err != nil {
			return
		}
		if c != nil && pass < n && !c.stall {
			return
		}
	}
}

// The connection between an entry and a target is cut or falls silent, before
// the request, in the head of its answer or in its body. An idempotent request
// is sent to another target, and its caller notices nothing, but for silence,
// which ends in its timeout. A keyed one is not: its caller is told what is
// known, and no part of an answer as the whole. Sent again, the key is not run
// again.
func TestCutConnectionIsToldTruthfully(t *testing.T) {
	t.Parallel()
	q := qt.New(t)
	s := newStore(t)
	var relays []*relay
	for n := range 2 {
		r := newRelay(t, s.startTarget(t, time.Millisecond).addrs[0])
		s.enlist(t, targetName(n), r.addr)
		relays = append(relays, r)
	}
	s.startEntries(t, 3)
	code, out := s.operate(t, 0, "settings", "set", ledger, "timeout", "1s", "--wait")
	q.Assert(code, qt.Equals, exitOK, qt.Commentf("%s", out))
	s.earnRetries(t)
	for _, c := range []struct {
		name string
		cut  cut
		runs int // of the keyed request that is hit
	}{
		{"closed before the request", cut{before: true}, 0},
		{"closed before the answer", cut{after: 0}, 1},
		{"closed in the head", cut{after: 20}, 1},
		{"closed in the body", cut{after: 170}, 1},
		{"silent before the answer", cut{after: 0, stall: true}, 1},
		{"silent in the body", cut{after: 170, stall: true}, 1},
	} {
		for n, r := range relays {
			comment := qt.Commentf("%s, relay %d", c.name, n)
			_, id, a := s.hit(t, r, c.cut, http.MethodGet)
			if c.cut.stall {
				q.Check(truthful(a, 1), qt.IsTrue, qt.Commentf("%s, relay %d: %+v", c.name, n, a))
			} else {
				q.Check(a.whole(id), qt.IsTrue, qt.Commentf("%s, relay %d: %+v", c.name, n, a))
			}
			path, id, a := s.hit(t, r, c.cut, http.MethodPost)
			q.Check(truthful(a, c.runs), qt.IsTrue, qt.Commentf("%s, relay %d: %+v", c.name, n, a))
			q.Check(s.runs(t)[id], qt.Equals, c.runs, comment)
			for n := range s.entries {
				again := s.send(n, http.MethodPost, path, id, 3*time.Second)
				q.Check(truthful(again, c.runs), qt.IsTrue, qt.Commentf("%s, sent again: %+v", c.name, again))
			}
			q.Check(s.runs(t)[id], qt.Equals, c.runs, comment)
		}
	}
}

// truthful tells whether a caller without an answer was told what is known.
// The entry sent the request, so it can't know that it was not run.
func truthful(a told, runs int) bool {
	return a.outcome == call.Unknown.String() || a.outcome == call.Ran.String() && runs == 1
}

// earnRetries sends enough requests for each entry to retry some: the budget
// of retries is a share of first dispatches and starts empty.
func (c *cluster) earnRetries(t *testing.T) {
	t.Helper()
	for n := range c.entries {
		f := c.flood(n)
		eventually(t, "an entry has earned its retries", func() bool { return f.sent.Load() >= 300 })
		qt.Assert(t, f.end(), qt.HasLen, 0)
	}
}

// hitPause paces the requests until one meets the cut: a target that an earlier
// cut has put out of use gets a trial only after seconds.
const hitPause = 5 * time.Millisecond

// hit sends requests, each to a path of its own, until one of them meets the
// cut, and gives its path, its id and what its caller was told. All others must
// be answered whole.
func (c *cluster) hit(t *testing.T, r *relay, with cut, method string) (path, id string, a told) {
	t.Helper()
	r.next.Store(&with)
	end := time.Now().Add(bound)
	for n := 0; time.Now().Before(end); n++ {
		id = newKey()
		path = "/deposits/" + id
		a = c.send(n%len(c.entries), method, path, id, 5*time.Second)
		if r.next.Load() == nil {
			return path, id, a
		}
		qt.Assert(t, a.whole(id), qt.IsTrue, qt.Commentf("%+v", a))
		time.Sleep(hitPause)
	}
	t.Fatalf("no request met the cut of %s", r.addr)
	return path, id, a
}
