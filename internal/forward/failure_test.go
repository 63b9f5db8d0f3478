package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

func post(body string) Try {
	r := httptest.NewRequest("POST", "/deposit", strings.NewReader(body))
	return Try{Request: r, Body: []byte(body), Timeout: bound}
}

// A dispatch fails at each point of its way. The caller is told not-run for
// one that surely did not run, so such a failure must never come from a
// request of which the target has seen a byte; the target's count is the
// witness.
func TestFailureTellsWhatMayHaveRun(t *testing.T) {
	big := strings.Repeat("x", 8<<20)
	refused := newRaw(t, func(*peer) {})
	refused.Close()
	answers := func(s string) func(*peer) {
		return func(p *peer) {
			p.request()
			p.say(s)
		}
	}
	silent := func(p *peer) {
		p.request()
		p.request()
	}
	tests := []struct {
		name   string
		serve  func(p *peer)
		edit   func(*Try)
		stages []call.Stage
		ran    []call.Execution // as far as it is certain
	}{
		{"closed before the write", func(p *peer) { p.reset() }, nil, []call.Stage{call.StageConnect, call.StageUnsent, call.StageSent}, nil},
		{"reset in the middle of the write", func(p *peer) {
			_, _ = p.br.Peek(10)
			p.reset()
		}, func(t *Try) { t.Body = []byte(big) }, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"reset after the write", func(p *peer) {
			p.request()
			p.reset()
		}, nil, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"closed after the write", func(p *peer) { p.request() }, nil, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"closed within the head", answers("HTTP/1.1 200 OK\r\nContent-"), nil, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"closed within a short body", answers("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), nil, []call.Stage{call.StageCut}, []call.Execution{call.DidRun}},
		{"closed within an error", answers("HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nhalf"), nil, []call.Stage{call.StageCut}, []call.Execution{call.MayHaveRun}},
		{"body to the end of the connection", answers("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf or whole"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.DidRun}},
		{"no HTTP", answers("220 mail.example ESMTP\r\n\r\n"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.MayHaveRun}},
		{"protocols switched", answers("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.MayHaveRun}},
		{"two lengths", answers("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.MayHaveRun}},
		{"head too long", answers("HTTP/1.1 200 OK\r\nX: " + big[:1<<20]), nil, []call.Stage{call.StageInvalid, call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"silent", silent, func(t *Try) { t.Timeout = 20 * time.Millisecond }, []call.Stage{call.StageTimeout}, []call.Execution{call.MayHaveRun}},
		{"silent within a short body", func(p *peer) {
			p.request()
			p.say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			p.request()
		}, func(t *Try) { t.Timeout = 50 * time.Millisecond }, []call.Stage{call.StageTimeout}, []call.Execution{call.DidRun, call.MayHaveRun}},
		{"caller's body breaks", silent, func(t *Try) {
			t.Stream, t.Length = io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1
		}, []call.Stage{call.StageCaller}, nil},
		{"caller's body is short", silent, func(t *Try) {
			t.Stream, t.Length = strings.NewReader("half"), 9
		}, []call.Stage{call.StageCaller}, nil},
		{"refused", nil, func(t *Try) { t.Target = refused.addr() }, []call.Stage{call.StageRefused}, []call.Execution{call.DidNotRun}},
		{"no such port", nil, func(t *Try) { t.Target = "127.0.0.1:70000" }, []call.Stage{call.StageConnect}, []call.Execution{call.DidNotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, tt.serve)
			f := New(Config{})
			defer f.Close()
			try := post("veil")
			try.Target = target.addr()
			if tt.edit != nil {
				tt.edit(&try)
			}
			a, fail := f.Dispatch(context.Background(), try)
			c.Assert(a == nil, qt.IsTrue)
			c.Assert(fail != nil, qt.IsTrue)
			at := qt.Commentf("%v, ran %d", fail, fail.Ran)
			c.Assert(fmt.Sprint(tt.stages), qt.Contains, fail.Stage.String(), at)
			if tt.ran != nil {
				c.Assert(fmt.Sprint(tt.ran), qt.Contains, fmt.Sprint(fail.Ran), at)
			}
			c.Assert(fail.Replay, qt.Equals, try.Stream == nil)
			if fail.Ran == call.DidNotRun {
				c.Assert(target.bytes.Load(), qt.Equals, int64(0), at)
			}
			c.Assert(target.requests.Load() <= 1, qt.IsTrue)
		})
	}
}

// The only connection to the target is taken. What waits for it and times out
// or is cancelled was never sent, and the body of its caller is untouched.
func TestWaitForConnectionDoesNotRun(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	target := newRaw(t, func(p *peer) {
		p.request()
		<-release
		p.say(ok)
		p.request()
	})
	f := New(Config{MaxConns: 1})
	defer f.Close()
	first := make(chan *Failure)
	go func() {
		try := post("veil")
		try.Target = target.addr()
		_, fail := f.Dispatch(context.Background(), try)
		first <- fail
	}()
	eventually(c, func() bool { return target.requests.Load() == 1 })

	try := post("")
	try.Target, try.Timeout, try.Stream, try.Length = target.addr(), 10*time.Millisecond, strings.NewReader("gown"), 4
	_, fail := f.Dispatch(context.Background(), try)
	c.Assert(fail.Stage, qt.Equals, call.StageTimeout)
	c.Assert(fail.Ran, qt.Equals, call.DidNotRun)
	c.Assert(fail.Replay, qt.IsTrue)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, fail = f.Dispatch(ctx, try)
	c.Assert(fail.Stage, qt.Equals, call.StageCancelled)
	c.Assert(fail.Ran, qt.Equals, call.DidNotRun)
	close(release)
	c.Assert(<-first == nil, qt.IsTrue)
	c.Assert(target.requests.Load(), qt.Equals, int64(1))
}

// The transport holds an idle connection. The target takes the next request
// from it, runs it, and ends the connection without an answer, as it would
// when it stops at that moment. net/http would send some of these requests
// again by itself, on a new connection: two runs and one answer.
func TestTransportNeverResends(t *testing.T) {
	header := func(name string) http.Header { return http.Header{name: {"k1"}} }
	tests := []struct {
		method string
		header http.Header
		body   string
	}{
		{"GET", nil, ""},
		{"HEAD", nil, ""},
		{"OPTIONS", nil, ""},
		{"TRACE", nil, ""},
		{"DELETE", header("Idempotency-Key"), ""},
		{"POST", header("Idempotency-Key"), ""},
		{"POST", header("Idempotency-Key"), "veil"},
		{"POST", header("X-Idempotency-Key"), ""},
		{"PUT", nil, "veil"},
		{"POST", nil, ""},
	}
	ends := map[string]func(*peer){
		"closed": func(*peer) {},
		"reset":  (*peer).reset,
		"half":   func(p *peer) { p.say("HTTP/1.1 200 OK\r\nX") },
	}
	for _, tt := range tests {
		for name, end := range ends {
			t.Run(fmt.Sprint(tt.method, tt.header, len(tt.body), name), func(t *testing.T) {
				c := qt.New(t)
				target := newRaw(t, func(p *peer) {
					p.request()
					p.say(ok)
					if p.request() != nil {
						end(p)
					}
				})
				f := New(Config{})
				defer f.Close()
				warm := post("")
				warm.Target = target.addr()
				_, fail := f.Dispatch(context.Background(), warm)
				c.Assert(fail == nil, qt.IsTrue)

				r := httptest.NewRequest(tt.method, "/deposit", strings.NewReader(tt.body))
				for k, v := range tt.header {
					r.Header[k] = v
				}
				_, fail = f.Dispatch(context.Background(), Try{Target: target.addr(), Request: r, Body: []byte(tt.body), Timeout: bound})
				c.Assert(fail != nil, qt.IsTrue, qt.Commentf("answered, %d runs", target.requests.Load()))
				c.Assert(fail.Ran, qt.Equals, call.MayHaveRun, qt.Commentf("%v", fail))
				c.Assert(target.conns.Load(), qt.Equals, int64(1))
				c.Assert(target.requests.Load(), qt.Equals, int64(2))
			})
		}
	}
}

// eventually waits for a condition, with a bound.
func eventually(c *qt.C, holds func() bool) {
	c.Helper()
	for end := time.Now().Add(bound); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatal("condition not reached in time")
		}
	}
}
