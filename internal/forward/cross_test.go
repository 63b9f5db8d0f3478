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

// okResponse returns a complete response with the given body.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// The first request on the only connection fails, or its target sends more than
// one response. The next caller's request follows at once, and must get its own
// response or an error. Bytes left over from the first request could reach it as
// its response.
func TestResponseNeverReachesAnotherCaller(t *testing.T) {
	const rounds = 50
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
	tests := []struct {
		name   string
		first  func(p *targetConn, pause func())
		late   bool // the request times out when the target calls pause
		echoes bool // the target echoes the request id and doesn't call pause
	}{
		{"response after the timeout", func(p *targetConn, pause func()) {
			pause()
			p.write(okResponse("/1"))
		}, true, false},
		{"half a body, the rest after the timeout", func(p *targetConn, pause func()) {
			p.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n/1")
			pause()
			p.write("/1\n" + okResponse("/1"))
		}, true, false},
		{"response closed within its body", func(p *targetConn, pause func()) {
			p.write(chunked)
			pause()
			p.write("2\r\n/1\r\n0\r\n\r\n")
		}, false, false},
		{"two responses at once", func(p *targetConn, pause func()) {
			p.write(okResponse("/1") + okResponse("/1"))
			pause()
		}, false, false},
		{"two responses, the first empty", func(p *targetConn, pause func()) {
			p.write(okResponse("") + okResponse("/1"))
			pause()
		}, false, false},
		{"second response before the next request", func(p *targetConn, pause func()) {
			p.write(okResponse("/1"))
			p.write(okResponse("/1"))
			pause()
		}, false, false},
		{"second response at any time", func(p *targetConn, _ func()) {
			p.respond("/1")
			p.respond("/1")
		}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			reached, released := make(chan struct{}), make(chan struct{})
			pause := func() {
				reached <- struct{}{}
				<-released
			}
			target := newRaw(t, func(p *targetConn) {
				for r := p.request(); r != nil; r = p.request() {
					if p.echoID = ""; tt.echoes {
						p.echoID = r.Header.Get(call.HeaderRequest)
					}
					if r.URL.Path == "/1" {
						tt.first(p, pause)
					} else {
						p.respond(r.URL.Path)
					}
				}
			})
			f := New(Config{MaxConns: 1})
			defer f.Close()
			send := func(ctx context.Context, path string) (*Response, *Failure) {
				r := httptest.NewRequest("GET", path, nil)
				return f.Dispatch(ctx, DispatchParams{Target: target.addr(), Request: r, Timeout: waitLimit})
			}
			first := func() {
				ctx, cancel := context.WithCancelCause(context.Background())
				defer cancel(nil)
				done := make(chan struct{})
				go func() {
					defer close(done)
					if tt.echoes {
						return
					}
					<-reached
					if tt.late {
						cancel(context.DeadlineExceeded)
					}
				}()
				resp, fail := send(ctx, "/1")
				if resp != nil {
					resp.Close()
				}
				<-done
				if tt.late {
					c.Assert(fail != nil && fail.Stage == call.StageTimeout, qt.IsTrue, qt.Commentf("%v", fail))
				}
				if !tt.echoes {
					released <- struct{}{}
				}
			}
			succeeded := 0
			for range rounds {
				first()
				if resp, _ := send(context.Background(), "/2"); resp != nil {
					c.Assert(string(resp.Buffered), qt.Equals, "/2")
					succeeded++
				}
				resp, fail := send(context.Background(), "/3")
				for ; resp == nil; resp, fail = send(context.Background(), "/3") {
					c.Assert(fail != nil, qt.IsTrue)
				}
				c.Assert(string(resp.Buffered), qt.Equals, "/3")
			}
			t.Logf("%d of %d requests succeeded", succeeded, rounds)
		})
	}
}

// Many callers send different requests over a few connections. The target
// responds after different delays, and every third request has a timeout of 1 ms.
// Each caller must get its own response; with the short timeout it may get an error.
func TestConcurrentCallersGetOwnResponses(t *testing.T) {
	c := qt.New(t)
	target := newRaw(t, func(p *targetConn) {
		for r := p.request(); r != nil; r = p.request() {
			time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
			p.write(okResponse(r.URL.Path))
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
				timeout := waitLimit
				if (i+j)%3 == 0 {
					timeout = time.Millisecond
				}
				r := httptest.NewRequest("GET", path, nil)
				resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: target.addr(), Request: r, Timeout: timeout})
				switch {
				case fail == nil && string(resp.Buffered) != path:
					results <- path + " got " + string(resp.Buffered)
				case fail != nil && timeout == waitLimit:
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

// The slower of two concurrent dispatches is cancelled, as for a hedged request, and
// its target responds afterwards. That response must be discarded: later requests to
// the target get their own responses.
func TestLosingHedgeIsDropped(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	target := newRaw(t, func(p *targetConn) {
		for r := p.request(); r != nil; r = p.request() {
			if r.URL.Path == "/slow" {
				<-release
			}
			p.write(okResponse(r.URL.Path))
		}
	})
	f := New(Config{MaxConns: 2})
	defer f.Close()
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		slow := make(chan *Failure)
		go func() {
			resp, fail := f.Dispatch(ctx, DispatchParams{Target: target.addr(), Request: httptest.NewRequest("GET", "/slow", nil)})
			if resp != nil {
				resp.Close()
			}
			slow <- fail
		}()
		resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: target.addr(), Request: httptest.NewRequest("GET", "/fast", nil), Timeout: waitLimit})
		c.Assert(fail == nil, qt.IsTrue)
		c.Assert(string(resp.Buffered), qt.Equals, "/fast")
		cancel()
		c.Assert(<-slow != nil, qt.IsTrue)
		select {
		case release <- struct{}{}:
		default:
		}
	}
	close(release)
}
