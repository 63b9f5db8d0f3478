package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// Guards against IDs that fill the memory, or are forgotten, on a connection that carries many requests,
// and against connections without need for another.
func TestConnectionOfManyRequests(t *testing.T) {
	tests := []struct {
		name    string
		callers int
	}{
		{"one caller", 1},
		{"many callers", 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			const each = maxConnRequests * 5 / 4
			requests := int64(tt.callers * each)
			var mu sync.Mutex
			longest := 0
			target := newRaw(t, func(p *targetConn) {
				n := 0
				for r := p.request(); r != nil; r = p.request() {
					n++
					mu.Lock()
					longest = max(longest, n)
					mu.Unlock()
					p.write(responseWith("200 OK", r.Header.Get(idHeader), "ran"))
				}
			})
			f := newEchoForwarder(t, Config{MaxConns: tt.callers})
			var callers sync.WaitGroup
			for i := range tt.callers {
				callers.Go(func() {
					for j := range each {
						p := post("veil")
						p.Target = target.addr()
						p.Request.Header.Set(idHeader, fmt.Sprintf("q-%d-%d", i, j))
						resp, fail := f.Dispatch(context.Background(), p)
						if !c.Check(fail == nil, qt.IsTrue, qt.Commentf("%v", fail)) {
							return
						}
						c.Check(resp.RepeatedIDs, qt.Equals, 0)
					}
				})
			}
			callers.Wait()
			c.Check(target.requests.Load(), qt.Equals, requests)
			c.Check(longest, qt.Equals, maxConnRequests)
			c.Check(target.conns.Load() <= int64(tt.callers)+requests/maxConnRequests, qt.IsTrue, qt.Commentf("%d connections", target.conns.Load()))
		})
	}
}

// Guards against a request that is cut because an earlier response on its full connection is closed late.
func TestRequestOnFullConnection(t *testing.T) {
	c := qt.New(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	target := newRaw(t, func(p *targetConn) {
		for n, r := 1, p.request(); r != nil; n, r = n+1, p.request() {
			id, body := r.Header.Get(idHeader), ""
			if id == "" {
				arrived <- struct{}{}
				<-release
			} else if n == maxConnRequests {
				body = strings.Repeat("x", 1<<20)
			}
			p.write(responseWith("200 OK", id, body))
		}
	})
	f := newEchoForwarder(t, Config{})
	send := func(id string) (*Response, *Failure) {
		p := post("veil")
		p.Target = target.addr()
		if id != "" {
			p.Request.Header.Set(idHeader, id)
		}
		return f.Dispatch(context.Background(), p)
	}
	var last *Response
	for i := range maxConnRequests {
		resp, fail := send(fmt.Sprint("q-", i))
		c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		last = resp
	}
	_, err := io.Copy(io.Discard, last.Body)
	c.Assert(err, qt.IsNil)
	failure := make(chan *Failure)
	go func() {
		_, fail := send("")
		failure <- fail
	}()
	<-arrived
	last.Close()
	close(release)
	fail := <-failure
	c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
	c.Assert(target.conns.Load(), qt.Equals, int64(1))
}

// Guards against a repeat that can't be sent and then counts as one that may have run, or whose body is lost.
func TestRepeatWithoutAnotherConnection(t *testing.T) {
	c := qt.New(t)
	k := newCopyingTarget(t, copies[0].of)
	f := newEchoForwarder(t, Config{MaxConns: 1})
	f.cfg.MaxConns = 0 // no further tries
	params := func() DispatchParams { return k.identified("q", "veil") }
	_, fail := f.Dispatch(context.Background(), params())
	c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
	for _, length := range []int64{4, 8 << 20, -1} {
		before := k.bytes.Load()
		p := params()
		body := &countingReader{left: max(length, 4)}
		p.Body, p.Stream, p.Length = nil, body, length
		_, fail = f.Dispatch(context.Background(), p)
		c.Assert(fail != nil, qt.IsTrue)
		c.Check(fail.Stage, qt.Equals, call.StageUnsent)
		c.Check(fail.Execution, qt.Equals, call.DidNotRun)
		c.Check(fail.Replayable, qt.IsTrue)
		c.Check(fail.RepeatedIDs, qt.Equals, 1)
		c.Check(body.reads.Load(), qt.Equals, int64(0))
		c.Check(k.bytes.Load(), qt.Equals, before)
		f.cfg.MaxConns = 1
		resp, fail := f.Dispatch(context.Background(), params())
		c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		c.Check(resp.RepeatedIDs, qt.Equals, 0)
		f.cfg.MaxConns = 0
	}
}

// Guards against bytes of a caller's body that are lost in the buffer of a connection that was given up.
func TestGivenUpBodyIsNotRead(t *testing.T) {
	c := qt.New(t)
	src := &countingReader{left: 4}
	b := &body{src: src, streamed: true, closed: true}
	n, err := b.Read(make([]byte, 4))
	c.Assert(n, qt.Equals, 0)
	c.Assert(err, qt.Equals, errGivenUp)
	c.Assert(src.reads.Load(), qt.Equals, int64(0))
	c.Assert(b.readBegun(), qt.IsFalse)
	c.Assert(b.err(), qt.IsNil)
}

// countingReader counts the calls of Read.
type countingReader struct {
	left  int64
	reads atomic.Int64
}

func (r *countingReader) Read(p []byte) (n int, err error) {
	r.reads.Add(1)
	if r.left == 0 {
		return 0, io.EOF
	}
	n = int(min(int64(len(p)), r.left))
	r.left -= int64(n)
	return n, nil
}

// Guards against a repeat that takes longer than its timeout because it is sent on another connection.
func TestTimeoutHoldsOverConnections(t *testing.T) {
	const timeout = 200 * time.Millisecond
	c := qt.New(t)
	var dials atomic.Int64
	dialer := net.Dialer{}
	k := newCopyingTarget(t, copies[0].of)
	f := newEchoForwarder(t, Config{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dialer.DialContext(ctx, network, address)
	}})
	params := k.identified("q", "veil")
	params.Timeout = timeout
	_, fail := f.Dispatch(context.Background(), params)
	c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
	began := time.Now()
	_, fail = f.Dispatch(context.Background(), params)
	c.Assert(fail != nil, qt.IsTrue)
	c.Check(fail.Stage, qt.Equals, call.StageTimeout)
	c.Check(fail.Execution, qt.Equals, call.DidNotRun)
	c.Check(fail.RepeatedIDs, qt.Equals, 1)
	c.Check(time.Since(began) < timeout+waitLimit/10, qt.IsTrue)
	c.Check(time.Since(began) >= timeout, qt.IsTrue)
}

// Guards against dispatches of the own interface that share an ID, on one connection or several.
func TestOwnIDsAreUnique(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	seen := make(map[string]bool)
	target := newRaw(t, func(p *targetConn) {
		for r := p.request(); r != nil; r = p.request() {
			id := r.Header.Get(call.HeaderRequest)
			mu.Lock()
			c.Check(seen[id], qt.IsFalse)
			seen[id] = true
			mu.Unlock()
			p.write(ok)
		}
	})
	f := New(Config{})
	defer f.Close()
	params := post("veil")
	params.Target = target.addr()
	params.Request.Header.Set(call.HeaderRequest, "of the caller")
	params.Header = http.Header{call.HeaderRequest: {"added"}}
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 50 {
				_, fail := f.Dispatch(context.Background(), params)
				c.Check(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
			}
		})
	}
	callers.Wait()
	c.Check(seen, qt.HasLen, 200)
}

func BenchmarkCarriedIDs(b *testing.B) {
	ids := make([]string, maxConnRequests)
	for i := range ids {
		ids[i] = fmt.Sprintf("9c41d07be2a3%04x", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		var c carriedIDs
		for _, id := range ids {
			c.add(id)
		}
	}
}

// Guards against a late copy of the response to a request without an ID that is taken for the response
// to another one.
func TestCopyOfResponseWithoutID(t *testing.T) {
	c := qt.New(t)
	target := newRaw(t, func(p *targetConn) {
		for last := ""; ; {
			r := p.request()
			if r == nil {
				return
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
			p.write(last + response)
			last = response
		}
	})
	f := newEchoForwarder(t, Config{})
	for i := range 20 {
		path := fmt.Sprint("/q-", i)
		p := DispatchParams{Target: target.addr(), Request: httptest.NewRequest("POST", path, nil), Timeout: waitLimit}
		resp, fail := f.Dispatch(context.Background(), p)
		c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
		c.Check(string(resp.Buffered), qt.Equals, path)
		resp.Close()
	}
}
