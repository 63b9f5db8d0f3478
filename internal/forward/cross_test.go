package forward

import (
	"context"
	"fmt"
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
		late  bool // time runs out once the target has come to gone
		names bool // the target repeats the name of the request and doesn't come to gone
	}{
		{"answer after the timeout", func(p *peer, gone func()) {
			gone()
			p.say(answer("/1"))
		}, true, false},
		{"half a body, the rest after the timeout", func(p *peer, gone func()) {
			p.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n/1")
			gone()
			p.say("/1\n" + answer("/1"))
		}, true, false},
		{"answer dropped in its body", func(p *peer, gone func()) {
			p.say(chunked)
			gone()
			p.say("2\r\n/1\r\n0\r\n\r\n")
		}, false, false},
		{"two answers at once", func(p *peer, gone func()) {
			p.say(answer("/1") + answer("/1"))
			gone()
		}, false, false},
		{"two answers, the first empty", func(p *peer, gone func()) {
			p.say(answer("") + answer("/1"))
			gone()
		}, false, false},
		{"second answer before the next request", func(p *peer, gone func()) {
			p.say(answer("/1"))
			p.say(answer("/1"))
			gone()
		}, false, false},
		{"second answer at any time", func(p *peer, _ func()) {
			p.answer("/1")
			p.answer("/1")
		}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			reached, released := make(chan struct{}), make(chan struct{})
			gone := func() {
				reached <- struct{}{}
				<-released
			}
			target := newRaw(t, func(p *peer) {
				for r := p.request(); r != nil; r = p.request() {
					if p.name = ""; tt.names {
						p.name = r.Header.Get(call.HeaderRequest)
					}
					if r.URL.Path == "/1" {
						tt.first(p, gone)
					} else {
						p.answer(r.URL.Path)
					}
				}
			})
			f := New(Config{MaxConns: 1})
			defer f.Close()
			send := func(ctx context.Context, path string) (*Answer, *Failure) {
				r := httptest.NewRequest("GET", path, nil)
				return f.Dispatch(ctx, Try{Target: target.addr(), Request: r, Timeout: bound})
			}
			first := func() {
				ctx, cancel := context.WithCancelCause(context.Background())
				defer cancel(nil)
				there := make(chan struct{})
				go func() {
					defer close(there)
					if tt.names {
						return
					}
					<-reached
					if tt.late {
						cancel(context.DeadlineExceeded)
					}
				}()
				a, fail := send(ctx, "/1")
				if a != nil {
					a.Close()
				}
				<-there
				if tt.late {
					c.Assert(fail != nil && fail.Stage == call.StageTimeout, qt.IsTrue, qt.Commentf("%v", fail))
				}
				if !tt.names {
					released <- struct{}{}
				}
			}
			answered := 0
			for range rounds {
				first()
				if a, _ := send(context.Background(), "/2"); a != nil {
					c.Assert(string(a.Whole), qt.Equals, "/2")
					answered++
				}
				a, fail := send(context.Background(), "/3")
				for ; a == nil; a, fail = send(context.Background(), "/3") {
					c.Assert(fail != nil, qt.IsTrue)
				}
				c.Assert(string(a.Whole), qt.Equals, "/3")
			}
			t.Logf("%d of %d answered", answered, rounds)
		})
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
