package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// malformedResponses are heads, and trailers, that are no response, with the byte sequence X-Id for
// the line with the request's ID.
var malformedResponses = []struct{ name, text string }{
	{"status 000", "HTTP/1.1 000 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status 001", "HTTP/1.1 001 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status 099", "HTTP/1.1 099 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status 600", "HTTP/1.1 600 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status 999", "HTTP/1.1 999 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"version 2.0", "HTTP/2.0 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"version 0.9", "HTTP/0.9 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"version 0.9, chunks", "HTTP/0.9 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"status with a plus", "HTTP/1.1 +20 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status with a minus", "HTTP/1.1 -20 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status with an exponent", "HTTP/1.1 2e2 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"two heads in the status line", "HTTP/1.1 421 MisHTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status line with no reason before the next", "HTTP/1.1 404 HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"blank within a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"blank behind a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nok"},
	{"blank behind a name, no body", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd : 1\r\nContent-Length: 0\r\n\r\n"},
	{"blank behind a length", "HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length : 1\r\n\r\nok"},
	{"blank behind a second length", "HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok"},
	{"blank behind the encoding", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"blank behind a second encoding", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok"},
	{"blank behind another ID", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Id : another\r\nContent-Length: 2\r\n\r\nok"},
	{"blank behind a refusal", "HTTP/1.1 503 Full\r\nX-Id\r\nPlumpitch-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n"},
	{"blank behind a signature", "HTTP/1.1 200 OK\r\nX-Id\r\nPlumpitch-Response-Signature : s\r\nContent-Length: 2\r\n\r\nok"},
	{"blank behind close", "HTTP/1.1 200 OK\r\nX-Id\r\nConnection : close\r\nContent-Length: 2\r\n\r\nok"},
	{"tab in a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"control in a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX\x00Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"byte over 7F in a name", "HTTP/1.1 200 OK\r\nX-Id\r\nX\xe9Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"no name", "HTTP/1.1 200 OK\r\nX-Id\r\n: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"no colon", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd\r\nContent-Length: 2\r\n\r\nok"},
	{"control in a value", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd: a\x01b\r\nContent-Length: 2\r\n\r\nok"},
	{"NUL in a value", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok"},
	{"bare CR in a value", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd: a\rb\r\nContent-Length: 2\r\n\r\nok"},
	{"two lengths", "HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk"},
	{"length with a plus", "HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: +2\r\n\r\nok"},
	{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nContent-Length : 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"two heads in an interim response", "HTTP/1.1 103 Early Hints\r\nX-Cut: aHTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"blank in a declared trailer", "HTTP/1.1 200 OK\r\nX-Id\r\nTrailer: X Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"blank within a trailer's name", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n"},
	{"blank behind a trailer's name", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nContent-Length : 9\r\n\r\n"},
	{"two heads in a trailer", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Cut: aHTTP/1.1 200 OK\r\n\r\n"},
	{"tab in a trailer's name", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\tOdd: 1\r\n\r\n"},
	{"no colon in a trailer", "HTTP/1.1 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Odd\r\n\r\n"},
}

// oddResponses are responses that are well-formed enough: their body is "ok".
var oddResponses = []struct{ name, text string }{
	{"length and chunks", "HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"folded line", "HTTP/1.1 200 OK\r\nX-Id\r\nX-Odd: a\r\n b\r\nContent-Length: 2\r\n\r\nok"},
	{"blanks before the status", "HTTP/1.1   200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"status 599", "HTTP/1.1 599 Odd\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"all bytes of a token", "HTTP/1.1 200 OK\r\nX-Id\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok"},
	{"trailer", "HTTP/1.1 200 OK\r\nX-Id\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"},
}

// exchange sends a request to a target that responds with a text, and then waits for the end of the
// connection or closes it.
func exchange(t *testing.T, cfg Config, text string, closes bool) (body string, fail *Failure) {
	ended := make(chan struct{}, 1)
	target := newRaw(t, func(p *targetConn) {
		r := p.request()
		line := "X-Id: " + r.Header.Get("X-Id")
		if id := r.Header.Get(call.HeaderRequest); id != "" {
			line = call.HeaderRequest + ": " + id
		}
		p.write(strings.Replace(text, "X-Id\r\n", line+"\r\n", 1))
		if !closes {
			_, _ = io.Copy(io.Discard, p)
			ended <- struct{}{}
		}
	})
	f := New(cfg)
	defer f.Close()
	r := httptest.NewRequest("POST", "/a", strings.NewReader(""))
	r.Header.Set("X-Id", "1")
	resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: target.addr(), Request: r, Timeout: waitLimit})
	if fail != nil && !closes {
		select {
		case <-ended:
		case <-time.After(waitLimit):
			t.Error("the connection was kept")
		}
	}
	if fail != nil {
		return "", fail
	}
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }()
		Copy(w, resp, func(f *Failure) { fail = f })
	}()
	return w.Body.String(), fail
}

// Guards against heads and trailers that net/http accepts, although a part of them is lost: their
// body would be taken wrongly, or a refusal for a response.
func TestMalformedResponse(t *testing.T) {
	modes := []struct {
		name   string
		cfg    Config
		closes bool
	}{
		{"own interface", Config{}, false},
		{"users' platform", Config{EchoHeader: "X-Id"}, false},
		{"users' platform, closes", Config{EchoHeader: "X-Id"}, true},
		{"users' platform, not buffered", Config{EchoHeader: "X-Id", MaxBufferedBytes: 1}, false},
	}
	for _, mode := range modes {
		for _, tt := range malformedResponses {
			t.Run(mode.name+", "+tt.name, func(t *testing.T) {
				c := qt.New(t)
				body, fail := exchange(t, mode.cfg, tt.text, mode.closes)
				c.Assert(fail != nil, qt.IsTrue, qt.Commentf("body %q", body))
				if !mode.closes {
					c.Assert(fail.Stage, qt.Equals, call.StageInvalid, qt.Commentf("%v", fail))
				}
				c.Assert(fail.Execution != call.DidNotRun, qt.IsTrue)
			})
		}
		for _, tt := range oddResponses {
			t.Run(mode.name+", "+tt.name, func(t *testing.T) {
				c := qt.New(t)
				body, fail := exchange(t, mode.cfg, tt.text, mode.closes)
				c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
				c.Assert(body, qt.Equals, "ok")
			})
		}
	}
}

// Guards against a target that counts as healthy by a response of which net/http has lost a part.
func TestMalformedProbeResponse(t *testing.T) {
	for _, tt := range malformedResponses {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ended := make(chan struct{}, 1)
			target := newRaw(t, func(p *targetConn) {
				p.request()
				p.write(strings.Replace(tt.text, "X-Id\r\n", "X-Own: 1\r\n", 1))
				_, _ = io.Copy(io.Discard, p)
				ended <- struct{}{}
			})
			f := New(Config{})
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			isOwn := func(h http.Header) bool { return h.Get("X-Own") == "1" }
			status, _, err := f.Probe(ctx, ProbeParams{Target: target.addr(), Path: "/health", IsOwn: isOwn})
			c.Assert(err, qt.IsNotNil, qt.Commentf("status %d", status))
			c.Assert(ctx.Err(), qt.IsNil)
			select {
			case <-ended:
			case <-time.After(waitLimit):
				c.Error("the connection was kept")
			}
		})
	}
}

// Guards against a body in chunks that is taken with the chunks' lines: net/http drops the field that
// names the encoding from a response in HTTP/1.0.
func TestResponseInHTTP10(t *testing.T) {
	users, own := Config{EchoHeader: "X-Id"}, Config{}
	tests := []struct {
		name string
		cfg  Config
		text string
		want string // body; empty if the response is malformed
	}{
		{"users' platform, chunks", users, "HTTP/1.0 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"users' platform, chunks and length", users, "HTTP/1.0 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"users' platform, length", users, "HTTP/1.0 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok", ""},
		{"own interface, chunks", own, "HTTP/1.0 200 OK\r\nX-Id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ""},
		{"own interface, length", own, "HTTP/1.0 200 OK\r\nX-Id\r\nContent-Length: 2\r\n\r\nok", "ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			body, fail := exchange(t, tt.cfg, tt.text, true)
			c.Assert(fail == nil, qt.Equals, tt.want != "", qt.Commentf("body %q, %v", body, fail))
			c.Assert(body, qt.Equals, tt.want)
		})
	}
}
