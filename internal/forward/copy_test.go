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

// The target's response ends early in each possible way. The caller must get an
// error: either a response of plumpitch, or a connection that breaks before the
// end of the response. It must never read a partial body that ends properly.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 100_000)
	tests := []struct {
		name     string
		text     string
		end      func(p *targetConn)
		complete string // body at the caller; empty if it is cut
	}{
		{"short, complete", okResponse("veil"), nil, "veil"},
		{"long, complete", okResponse(long), nil, long},
		{"chunks, complete", chunks + "4\r\nveil\r\n0\r\n\r\n", nil, "veil"},
		{"short, closed", head + "Content-Length: 9\r\n\r\nveil", nil, ""},
		{"long, closed", head + "Content-Length: 100001\r\n\r\n" + long, nil, ""},
		{"long, reset", head + "Content-Length: 100001\r\n\r\n" + long, (*targetConn).reset, ""},
		{"chunks, closed between", chunks + "4\r\nveil\r\n", nil, ""},
		{"chunks, closed within", chunks + "9\r\nveil", nil, ""},
		{"chunks, closed before the last line", chunks + "4\r\nveil\r\n0\r\n", nil, ""},
		{"chunks, closed at once", chunks, nil, ""},
		{"chunks, reset", chunks + "4\r\nveil\r\n", (*targetConn).reset, ""},
		{"chunks, broken", chunks + "4\r\nveil\r\nzz\r\n", nil, ""},
		{"chunks, silent", chunks + "4\r\nveil\r\n", func(p *targetConn) { p.request() }, ""},
		{"neither length nor chunks", head + "\r\nveil", nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, func(p *targetConn) {
				p.request()
				p.write(tt.text)
				if tt.end != nil {
					tt.end(p)
				}
			})
			f := New(Config{StallTimeout: 100 * time.Millisecond})
			defer f.Close()
			s := newEntry(t, f, target.addr(), nil)
			resp, err := s.Client().Get(s.URL)
			var body []byte
			if err == nil {
				defer resp.Body.Close()
				body, err = io.ReadAll(resp.Body)
			}
			if tt.complete != "" {
				c.Assert(err, qt.IsNil)
				c.Assert(string(body) == tt.complete, qt.IsTrue)
				return
			}
			if err == nil {
				c.Assert(resp.StatusCode >= 500, qt.IsTrue, qt.Commentf("%d %q", resp.StatusCode, body))
				c.Assert(resp.Header.Get(call.HeaderOutcome), qt.Equals, "unknown")
			}
		})
	}
}

// A caller disconnects before the response head or within the body. The
// cancellation must reach the target, so that it can stop the work.
func TestCancellationReachesTheTarget(t *testing.T) {
	for _, within := range []bool{false, true} {
		c := qt.New(t)
		working, stopped := make(chan struct{}), make(chan struct{})
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if within {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
			}
			close(working)
			<-r.Context().Done()
			close(stopped)
		}))
		f := New(Config{})
		s := newEntry(t, f, serverAddr(target), nil)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-working
			cancel()
		}()
		r, err := http.NewRequestWithContext(ctx, "GET", s.URL, nil)
		c.Assert(err, qt.IsNil)
		if resp, err := s.Client().Do(r); err == nil {
			_, err = io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNotNil)
		}
		select {
		case <-stopped:
		case <-time.After(waitLimit):
			c.Fatal("cancellation did not reach the target")
		}
		target.Close()
	}
}

// Each part of the request body is echoed before the caller sends the next. At the
// end the request's trailer reaches the target, and the response's trailers reach the
// caller, except for plumpitch's own.
func TestBidirectionalStreaming(t *testing.T) {
	c := qt.New(t)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		_ = ctl.EnableFullDuplex()
		w.Header().Set("Trailer", "X-Sum")
		_ = ctl.Flush()
		buf := make([]byte, 64)
		for {
			n, err := r.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			_ = ctl.Flush()
			if err != nil {
				break
			}
		}
		w.Header().Set("X-Sum", r.Trailer.Get("X-In"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "late")
		w.Header().Set(http.TrailerPrefix+"Plumpitch-Outcome", "not-run")
	}))
	defer target.Close()
	f := New(Config{})
	defer f.Close()
	s := newEntry(t, f, serverAddr(target), nil)
	out, in := io.Pipe()
	r, err := http.NewRequest("POST", s.URL, out)
	c.Assert(err, qt.IsNil)
	r.Trailer = http.Header{"X-In": nil, "Plumpitch-Attempt": nil}
	resp, err := s.Client().Do(r)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	buf := make([]byte, 4)
	for _, part := range []string{"veil", "gown", "hems"} {
		_, err = io.WriteString(in, part)
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(resp.Body, buf)
		c.Assert(err, qt.IsNil)
		c.Assert(string(buf), qt.Equals, part)
	}
	r.Trailer["X-In"] = []string{"12"}
	in.Close()
	_, err = io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Trailer, qt.DeepEquals, http.Header{"X-Sum": {"12"}, "X-Late": {"late"}})
}
