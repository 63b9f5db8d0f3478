package forward

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

func answer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A first request on the only connection ends badly, or its target says more
// than one answer. The next caller's request follows at once. It must get its
// own answer or an error; bytes that were left of the first would reach it as
// its answer.
func TestNoAnswerReachesAnotherCaller(t *testing.T) {
	const rounds = 50
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
	tests := []struct {
		name  string
		first func(p *peer, gone func())
		names bool // the target repeats the name of the request
	}{
		{"answer after the timeout", func(p *peer, gone func()) {
			gone()
			p.say(answer("/1"))
		}, false},
		{"half a body, the rest after the timeout", func(p *peer, gone func()) {
			p.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n/1")
			gone()
			p.say("/1\n" + answer("/1"))
		}, false},
		{"answer dropped in its body", func(p *peer, gone func()) {
			p.say(chunked)
			gone()
			p.say("2\r\n/1\r\n0\r\n\r\n")
		}, false},
		{"two answers at once", func(p *peer, gone func()) {
			p.say(answer("/1") + answer("/1"))
			gone()
		}, false},
		{"two answers, the first empty", func(p *peer, gone func()) {
			p.say(answer("") + answer("/1"))
			gone()
		}, false},
		{"second answer before the next request", func(p *peer, gone func()) {
			p.say(answer("/1"))
			p.say(answer("/1"))
			gone()
		}, false},
		{"second answer at any time", func(p *peer, _ func()) {
			p.answer("/1")
			p.answer("/1")
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			gone := make(chan struct{})
			target := newRaw(t, func(p *peer) {
				for r := p.request(); r != nil; r = p.request() {
					if p.name = ""; tt.names {
						p.name = r.Header.Get(call.HeaderRequest)
					}
					if r.URL.Path == "/1" {
						tt.first(p, func() { <-gone })
					} else {
						p.answer(r.URL.Path)
					}
				}
			})
			f := New(Config{MaxConns: 1})
			defer f.Close()
			send := func(path string, timeout time.Duration) (*Answer, *Failure) {
				r := httptest.NewRequest("GET", path, nil)
				return f.Dispatch(context.Background(), Try{Target: target.addr(), Request: r, Timeout: timeout})
			}
			answered := 0
			for range rounds {
				a, _ := send("/1", 5*time.Millisecond)
				if a != nil {
					a.Close()
				}
				if !tt.names {
					gone <- struct{}{}
				}
				if a, _ = send("/2", bound); a != nil {
					c.Assert(string(a.Whole), qt.Equals, "/2")
					answered++
				}
				a, fail := send("/3", bound)
				for ; a == nil; a, fail = send("/3", bound) {
					c.Assert(fail != nil, qt.IsTrue)
				}
				c.Assert(string(a.Whole), qt.Equals, "/3")
			}
			t.Logf("%d of %d answered", answered, rounds)
		})
	}
}

// The transport stops an answer whose first byte was there before the request.
func TestAnswerBeforeTheRequestIsStale(t *testing.T) {
	tests := []struct {
		name  string
		steps func(k *conn)
		stale bool
	}{
		{"nothing written", func(k *conn) { k.begin() }, true},
		{"written, nothing read since", func(k *conn) {
			k.begin()
			_, _ = k.Write([]byte("GET"))
		}, true},
		{"written, then read", func(k *conn) {
			k.begin()
			_, _ = k.Write([]byte("GET"))
			_, _ = k.Read(make([]byte, 9))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, func(p *peer) {
				p.say(ok)
				p.request()
			})
			tcp, err := net.Dial("tcp", target.addr())
			c.Assert(err, qt.IsNil)
			defer tcp.Close()
			var w watch
			var ctx context.Context
			ctx, w.cancel = context.WithCancelCause(context.Background())
			k, err := newConn(tcp)
			c.Assert(err, qt.IsNil)
			w.conn.Store(k)
			tt.steps(k)
			w.firstByte()
			c.Assert(w.stale.Load(), qt.Equals, tt.stale)
			c.Assert(context.Cause(ctx) == errStale, qt.Equals, tt.stale)
		})
	}
}

// A reused connection has bytes left, or its target has ended it, and no reader
// has run since. A request that is written there is answered by those bytes, or
// by nobody; so it is not written.
func TestWriteNeedsQuietConnection(t *testing.T) {
	tests := []struct {
		name  string
		after func(p *peer) // what the target does after the first request
		quiet bool
	}{
		{"silent", func(*peer) {}, true},
		{"bytes left", func(p *peer) { p.say(ok) }, false},
		{"closed", func(p *peer) { p.Close() }, false},
		{"reset", (*peer).reset, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, func(p *peer) {
				p.request()
				tt.after(p)
				p.request()
			})
			tcp, err := net.Dial("tcp", target.addr())
			c.Assert(err, qt.IsNil)
			defer tcp.Close()
			k, err := newConn(tcp)
			c.Assert(err, qt.IsNil)
			const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
			start := k.begin()
			_, err = k.Write([]byte(get))
			c.Assert(err, qt.IsNil)
			c.Assert(k.sent.Load() > start, qt.IsTrue)
			start = k.begin()
			eventually(c, func() bool { return k.quiet() == tt.quiet })
			n, err := k.Write([]byte(get))
			c.Assert(err == errStale, qt.Equals, !tt.quiet, qt.Commentf("%v", err))
			c.Assert(n > 0, qt.Equals, tt.quiet)
			c.Assert(k.sent.Load() > start, qt.Equals, tt.quiet)
		})
	}
}

// A target closes its idle connection. Nobody has read from it since, so the
// next request would be written to it, and its caller told unknown. It must be
// answered, or be told not-run.
func TestClosedIdleConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	target := newRaw(t, func(p *peer) {
		if p.request() != nil {
			p.say(ok)
			p.Close()
			closed <- struct{}{}
		}
	})
	f := New(Config{})
	defer f.Close()
	for range 500 {
		try := post("veil")
		try.Target = target.addr()
		_, fail := f.Dispatch(context.Background(), try)
		if fail == nil {
			<-closed
			continue
		}
		c.Assert(fail.Ran, qt.Equals, call.DidNotRun, qt.Commentf("%v", fail))
		c.Assert(fail.Replay, qt.IsTrue)
	}
}

// Each of many callers asks for something of its own, on few connections, of a
// target that answers in any order, and every third caller leaves early.
func TestEachCallerGetsItsOwn(t *testing.T) {
	c := qt.New(t)
	target := newRaw(t, func(p *peer) {
		for r := p.request(); r != nil; r = p.request() {
			time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
			p.say(answer(r.URL.Path))
		}
	})
	f := New(Config{MaxConns: 8})
	defer f.Close()
	results := make(chan string)
	const callers, each = 16, 50
	for i := range callers {
		go func() {
			for j := range each {
				path := fmt.Sprintf("/%d/%0*d", i, 1+j%5, j)
				timeout := bound
				if (i+j)%3 == 0 {
					timeout = time.Millisecond
				}
				r := httptest.NewRequest("GET", path, nil)
				a, fail := f.Dispatch(context.Background(), Try{Target: target.addr(), Request: r, Timeout: timeout})
				switch {
				case fail == nil && string(a.Whole) != path:
					results <- path + " got " + string(a.Whole)
				case fail != nil && timeout == bound:
					results <- path + " " + fail.Error()
				default:
					results <- ""
				}
			}
		}()
	}
	for range callers * each {
		c.Check(<-results, qt.Equals, "")
	}
}

// A hedge loses. Its answer is dropped, whether it comes before, with or after
// the winner's, and what follows on either connection is answered rightly.
func TestLosingHedgeIsDropped(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	target := newRaw(t, func(p *peer) {
		for r := p.request(); r != nil; r = p.request() {
			if r.URL.Path == "/slow" {
				<-release
			}
			p.say(answer(r.URL.Path))
		}
	})
	f := New(Config{MaxConns: 2})
	defer f.Close()
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		slow := make(chan *Failure)
		go func() {
			a, fail := f.Dispatch(ctx, Try{Target: target.addr(), Request: httptest.NewRequest("GET", "/slow", nil)})
			if a != nil {
				a.Close()
			}
			slow <- fail
		}()
		a, fail := f.Dispatch(context.Background(), Try{Target: target.addr(), Request: httptest.NewRequest("GET", "/fast", nil), Timeout: bound})
		c.Assert(fail == nil, qt.IsTrue)
		c.Assert(string(a.Whole), qt.Equals, "/fast")
		cancel()
		c.Assert(<-slow != nil, qt.IsTrue)
		select {
		case release <- struct{}{}:
		default:
		}
	}
	close(release)
}
