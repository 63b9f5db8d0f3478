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

// post returns the parameters of a POST dispatch, without a target.
func post(body string) DispatchParams {
	r := httptest.NewRequest("POST", "/deposit", strings.NewReader(body))
	return DispatchParams{Request: r, Body: [][]byte{[]byte(body)}, Timeout: waitLimit}
}

// A dispatch fails at each stage. A failure with DidNotRun makes the caller
// receive not-run, so it must never occur for a request of which the target has
// received any byte. The target's byte count verifies this.
func TestFailureStageAndExecution(t *testing.T) {
	big := strings.Repeat("x", 8<<20)
	refused := newRaw(t, func(*targetConn) {})
	refused.Close()
	respond := func(s string) func(*targetConn) {
		return func(p *targetConn) {
			p.request()
			p.write(s)
		}
	}
	silent := func(p *targetConn) {
		p.request()
		p.request()
	}
	tests := []struct {
		name   string
		serve  func(p *targetConn)
		edit   func(*DispatchParams)
		stages []call.Stage
		ran    []call.Execution // allowed values; nil if any
	}{
		{"closed before the write", func(p *targetConn) { p.reset() }, nil, []call.Stage{call.StageConnect, call.StageUnsent, call.StageSent}, nil},
		{"reset in the middle of the write", func(p *targetConn) {
			_, _ = p.br.Peek(10)
			p.reset()
		}, func(p *DispatchParams) { p.Body = [][]byte{[]byte(big)} }, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"reset after the write", func(p *targetConn) {
			p.request()
			p.reset()
		}, nil, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"closed after the write", func(p *targetConn) { p.request() }, nil, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"closed within the head", respond("HTTP/1.1 200 OK\r\nContent-"), nil, []call.Stage{call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"closed within a short body", respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), nil, []call.Stage{call.StageCut}, []call.Execution{call.DidRun}},
		{"closed within an error", respond("HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nhalf"), nil, []call.Stage{call.StageCut}, []call.Execution{call.MayHaveRun}},
		{"body to the end of the connection", respond("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf or whole"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.DidRun}},
		{"no HTTP", respond("220 mail.example ESMTP\r\n\r\n"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.MayHaveRun}},
		{"protocols switched", respond("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.MayHaveRun}},
		{"two lengths", respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"), nil, []call.Stage{call.StageInvalid}, []call.Execution{call.MayHaveRun}},
		{"head too long", respond("HTTP/1.1 200 OK\r\nX: " + big[:1<<20]), nil, []call.Stage{call.StageInvalid, call.StageSent}, []call.Execution{call.MayHaveRun}},
		{"silent", silent, func(p *DispatchParams) { p.Timeout = 20 * time.Millisecond }, []call.Stage{call.StageTimeout}, []call.Execution{call.MayHaveRun}},
		{"silent within a short body", func(p *targetConn) {
			p.request()
			p.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			p.request()
		}, func(p *DispatchParams) { p.Timeout = 50 * time.Millisecond }, []call.Stage{call.StageTimeout}, []call.Execution{call.DidRun, call.MayHaveRun}},
		{"caller's body breaks", silent, func(p *DispatchParams) {
			p.Stream, p.Length = io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1
		}, []call.Stage{call.StageCaller}, nil},
		{"caller's body is short", silent, func(p *DispatchParams) {
			p.Stream, p.Length = strings.NewReader("half"), 9
		}, []call.Stage{call.StageCaller}, nil},
		{"refused", nil, func(p *DispatchParams) { p.Target = refused.addr() }, []call.Stage{call.StageRefused}, []call.Execution{call.DidNotRun}},
		{"no such port", nil, func(p *DispatchParams) { p.Target = "127.0.0.1:70000" }, []call.Stage{call.StageConnect}, []call.Execution{call.DidNotRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, tt.serve)
			f := New(Config{})
			defer f.Close()
			params := post("veil")
			params.Target = target.addr()
			if tt.edit != nil {
				tt.edit(&params)
			}
			resp, fail := f.Dispatch(context.Background(), params)
			c.Assert(resp == nil, qt.IsTrue)
			c.Assert(fail != nil, qt.IsTrue)
			comment := qt.Commentf("%v, ran %d", fail, fail.Execution)
			c.Assert(fmt.Sprint(tt.stages), qt.Contains, fail.Stage.String(), comment)
			if tt.ran != nil {
				c.Assert(fmt.Sprint(tt.ran), qt.Contains, fmt.Sprint(fail.Execution), comment)
			}
			c.Assert(fail.Replayable, qt.Equals, params.Stream == nil)
			if fail.Execution == call.DidNotRun {
				c.Assert(target.bytes.Load(), qt.Equals, int64(0), comment)
			}
			c.Assert(target.requests.Load() <= 1, qt.IsTrue)
		})
	}
}

// The only connection to the target is in use. A request that waits for it and
// times out or is cancelled was not sent, and its body was not read.
func TestWaitForConnectionDoesNotRun(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	target := newRaw(t, func(p *targetConn) {
		p.request()
		<-release
		p.write(ok)
		p.request()
	})
	f := New(Config{MaxConns: 1})
	defer f.Close()
	first := make(chan *Failure)
	go func() {
		params := post("veil")
		params.Target = target.addr()
		_, fail := f.Dispatch(context.Background(), params)
		first <- fail
	}()
	eventually(c, func() bool { return target.requests.Load() == 1 })

	params := post("")
	params.Target, params.Timeout, params.Stream, params.Length = target.addr(), 10*time.Millisecond, strings.NewReader("gown"), 4
	_, fail := f.Dispatch(context.Background(), params)
	c.Assert(fail.Stage, qt.Equals, call.StageTimeout)
	c.Assert(fail.Execution, qt.Equals, call.DidNotRun)
	c.Assert(fail.Replayable, qt.IsTrue)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, fail = f.Dispatch(ctx, params)
	c.Assert(fail.Stage, qt.Equals, call.StageCancelled)
	c.Assert(fail.Execution, qt.Equals, call.DidNotRun)
	close(release)
	c.Assert(<-first == nil, qt.IsTrue)
	c.Assert(target.requests.Load(), qt.Equals, int64(1))
}

// The target reads a request from a reused connection, runs it and closes the
// connection without a complete response, as happens if it stops at that moment.
// net/http alone would retry some of these requests on a new connection, so that
// they would run twice.
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
	ends := map[string]func(*targetConn){
		"closed": func(*targetConn) {},
		"reset":  (*targetConn).reset,
		"half":   func(p *targetConn) { p.write("HTTP/1.1 200 OK\r\nX") },
	}
	for _, tt := range tests {
		for name, end := range ends {
			t.Run(fmt.Sprint(tt.method, tt.header, len(tt.body), name), func(t *testing.T) {
				c := qt.New(t)
				target := newRaw(t, func(p *targetConn) {
					p.request()
					p.write(ok)
					if p.request() != nil {
						end(p)
					}
				})
				f := New(Config{})
				defer f.Close()
				first := post("")
				first.Target = target.addr()
				_, fail := f.Dispatch(context.Background(), first)
				c.Assert(fail == nil, qt.IsTrue)

				r := httptest.NewRequest(tt.method, "/deposit", strings.NewReader(tt.body))
				for k, v := range tt.header {
					r.Header[k] = v
				}
				_, fail = f.Dispatch(context.Background(), DispatchParams{Target: target.addr(), Request: r, Body: [][]byte{[]byte(tt.body)}, Timeout: waitLimit})
				c.Assert(fail != nil, qt.IsTrue, qt.Commentf("request succeeded, %d runs", target.requests.Load()))
				c.Assert(fail.Execution, qt.Equals, call.MayHaveRun, qt.Commentf("%v", fail))
				c.Assert(target.conns.Load(), qt.Equals, int64(1))
				c.Assert(target.requests.Load(), qt.Equals, int64(2))
			})
		}
	}
}

// eventually waits up to waitLimit for a condition.
func eventually(c *qt.C, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.Fatal("condition not reached before the timeout")
		}
	}
}
