package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The entry must not buffer streams. The caller must receive each event as soon as
// the target sends it, also while the caller is still sending its body.
func TestBidirectionalStreaming(t *testing.T) {
	next := make(chan string)
	events := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		for e := range next {
			_, _ = io.WriteString(w, e)
			w.(http.Flusher).Flush()
		}
	})
	echo := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		ctl := http.NewResponseController(w)
		_ = ctl.EnableFullDuplex()
		_ = ctl.Flush()
		in := bufio.NewReader(r.Body)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(w, "got "+line)
			_ = ctl.Flush()
		}
	})
	w := start(t, testService{name: "events", targets: []string{events}}, testService{name: "echo", targets: []string{echo}})
	t.Run("events", func(t *testing.T) {
		c := qt.New(t)
		res, err := client.Get(w.url + "/v1/call/events/")
		c.Assert(err, qt.IsNil)
		defer res.Body.Close()
		in := bufio.NewReader(res.Body)
		for n := range 3 {
			event := fmt.Sprintf("data: %d\n", n)
			next <- event
			line, err := in.ReadString('\n')
			c.Assert(err, qt.IsNil)
			c.Assert(line, qt.Equals, event)
		}
		close(next)
		_, err = in.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
	})
	t.Run("both at once", func(t *testing.T) {
		c := qt.New(t)
		r, out := io.Pipe()
		req, err := http.NewRequest("POST", w.url+"/v1/call/echo/", r)
		c.Assert(err, qt.IsNil)
		res, err := client.Do(req)
		c.Assert(err, qt.IsNil)
		defer res.Body.Close()
		in := bufio.NewReader(res.Body)
		for n := range 3 {
			_, _ = fmt.Fprintf(out, "line %d\n", n)
			line, err := in.ReadString('\n')
			c.Assert(err, qt.IsNil)
			c.Assert(line, qt.Equals, fmt.Sprintf("got line %d\n", n))
		}
		out.Close()
		_, err = in.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
	})
	w.waitIdle("events")
	w.waitIdle("echo")
}

// Trailers are forwarded in both directions, except for plumpitch's own.
func TestTrailers(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Sum, Plumpitch-Outcome")
		_, _ = fmt.Fprintf(w, "%s %v", r.Trailer.Get("X-Check"), r.Trailer.Get("Plumpitch-Depth"))
		w.Header().Set("X-Sum", "42")
		w.Header().Set("Plumpitch-Outcome", "not-run")
	})
	w := start(t, testService{name: "plain", targets: []string{addr}})
	for _, key := range []string{"", "trailed"} {
		r, err := http.NewRequest("POST", w.url+"/v1/call/plain/", chunkedBody{strings.NewReader("veil")})
		w.c.Assert(err, qt.IsNil)
		r.Trailer = http.Header{"X-Check": {"7"}, "Plumpitch-Depth": {"9"}}
		r.Header.Set("Idempotency-Key", key)
		res, err := client.Do(r)
		w.c.Assert(err, qt.IsNil)
		b, err := io.ReadAll(res.Body)
		res.Body.Close()
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(string(b), qt.Equals, "7 ")
		w.c.Assert(res.Trailer, qt.DeepEquals, http.Header{"X-Sum": {"42"}})
	}
}

// A caller disconnects while its request runs. A request without a key is
// cancelled at the target and its slot is freed. One with a key continues, and
// another request with the key gets the recorded response.
func TestCallerDisconnects(t *testing.T) {
	began, cancelled, release := make(chan bool, 1), make(chan bool, 1), make(chan bool)
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		began <- true
		select {
		case <-r.Context().Done():
			cancelled <- true
		case <-release:
			_, _ = io.WriteString(w, "booked")
		}
	})
	w := start(t, testService{name: "plain", targets: []string{addr}}, testService{name: "hedged", settings: `"hedge": true`, targets: []string{addr}})
	disconnect := func(method, service, key string) {
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, method, w.url+"/v1/call/"+service+"/", strings.NewReader("veil"))
		w.c.Assert(err, qt.IsNil)
		r.Header.Set("Idempotency-Key", key)
		go func() {
			<-began
			cancel()
		}()
		_, err = client.Do(r)
		w.c.Assert(err, qt.ErrorIs, context.Canceled)
	}
	for _, tt := range []struct{ method, service string }{{"GET", "plain"}, {"POST", "plain"}, {"GET", "hedged"}} {
		disconnect(tt.method, tt.service, "")
		select {
		case <-cancelled:
		case <-time.After(waitLimit):
			t.Fatalf("%s at %s was not cancelled", tt.method, tt.service)
		}
		w.waitIdle(tt.service)
	}
	disconnect("POST", "plain", "k")
	release <- true
	got := w.request("POST", "/v1/call/plain/", strings.NewReader("veil"), "Idempotency-Key", "k")
	w.c.Assert(got.body, qt.Equals, "booked")
	w.c.Assert(got.Header.Get(headerReplay), qt.Equals, "true")
	w.waitIdle("plain")
}

// Hop-by-hop headers aren't forwarded in either direction, and the X-Forwarded
// headers identify the caller to the target.
func TestHopByHopHeaders(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		seen.Store(r)
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Keep-Alive", "timeout=9")
		w.Header().Set("X-Kept", "1")
	})
	w := start(t, testService{name: "plain", targets: []string{addr}})
	got := w.request(
		"GET", "/v1/call/plain/", nil, "Connection", "X-Hop", "X-Hop", "1", "Proxy-Connection", "x", "Keep-Alive", "x", "Te", "gzip",
		"Upgrade", "websocket", "Proxy-Authorization", "secret", "X-Forwarded-For", "10.1.1.1", "X-End", "1", "X-Request-Id", "r1",
	)
	for _, name := range []string{"X-Hop", "Proxy-Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization"} {
		w.c.Check(seen.Load().Header.Values(name), qt.HasLen, 0, qt.Commentf("%s", name))
	}
	for _, name := range []string{"X-Private", "Keep-Alive"} {
		w.c.Check(got.Header.Values(name), qt.HasLen, 0, qt.Commentf("%s", name))
	}
	h := seen.Load().Header
	w.c.Assert(h.Get("X-End"), qt.Equals, "1")
	w.c.Assert(h.Get("X-Request-Id"), qt.Equals, "r1")
	w.c.Assert(h.Get("X-Forwarded-For"), qt.Equals, "10.1.1.1, 127.0.0.1")
	w.c.Assert(h.Get("X-Forwarded-Proto"), qt.Equals, "http")
	w.c.Assert(h.Get("X-Forwarded-Host"), qt.Equals, w.Addresses().Callers)
	w.c.Assert(got.Header.Get("X-Kept"), qt.Equals, "1")
}

// Responses without a body keep their status and headers, and the connection
// serves the next request.
func TestResponsesWithoutBody(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", `"1"`)
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("Content-Length", "12")
			_, _ = io.WriteString(w, "twelve bytes")
		}
	})
	w := start(t, testService{name: "plain", targets: []string{addr}})
	for _, tt := range []struct {
		method, path string
		status       int
		length       int64
	}{{"HEAD", "/", 200, 12}, {"GET", "/204", 204, 0}, {"GET", "/304", 304, 0}, {"HEAD", "/304", 304, 0}, {"GET", "/", 200, 12}} {
		got := w.request(tt.method, "/v1/call/plain"+tt.path, nil)
		w.c.Check(got.StatusCode, qt.Equals, tt.status)
		w.c.Check(got.Header.Get("Etag"), qt.Equals, `"1"`)
		w.c.Check(max(got.ContentLength, 0), qt.Equals, tt.length, qt.Commentf("%s %s", tt.method, tt.path))
	}
	w.waitIdle("plain")
}

// A caller sends Expect: 100-continue. It gets the status 100 if the request is
// accepted, and a final response without sending the body otherwise.
func TestExpectContinue(t *testing.T) {
	w := start(t, testService{name: "plain", settings: `"maxbody": "1KB"`, targets: []string{startCountingTarget(t, new(atomic.Int64))}})
	for _, tt := range []struct {
		size, status int
		continued    bool
	}{{4, 200, true}, {4 << 10, 413, false}} {
		var continued atomic.Bool
		ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
			Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
			Got100Continue: func() { continued.Store(true) },
		})
		r, err := http.NewRequestWithContext(ctx, "POST", w.url+"/v1/call/plain/", strings.NewReader(strings.Repeat("x", tt.size)))
		w.c.Assert(err, qt.IsNil)
		r.Header.Set("Expect", "100-continue")
		waiting := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: waitLimit, DisableKeepAlives: true}}
		res, err := waiting.Do(r)
		w.c.Assert(err, qt.IsNil)
		res.Body.Close()
		w.c.Assert(res.StatusCode, qt.Equals, tt.status)
		w.c.Assert(continued.Load(), qt.Equals, tt.continued)
	}
}

// Large bodies are forwarded completely in both directions, with and without
// Content-Length.
func TestLargeBodies(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
		}
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	w := start(t, testService{name: "plain", targets: []string{addr}})
	large := strings.Repeat("veil and gown, ", 400_000)
	for _, body := range []io.Reader{strings.NewReader(large), chunkedBody{strings.NewReader(large)}} {
		got := w.request("POST", "/v1/call/plain/", body)
		w.c.Assert(got.StatusCode, qt.Equals, http.StatusOK)
		w.c.Assert(sha256.Sum256([]byte(got.body)), qt.Equals, sha256.Sum256([]byte(large)))
	}
	w.waitIdle("plain")
}
