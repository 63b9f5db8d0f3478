package forward

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// The dispatch is cancelled if the first byte of the response was read before the
// request was written: such a response belongs to an earlier request.
func TestResponseBeforeRequestIsStale(t *testing.T) {
	tests := []struct {
		name  string
		steps func(k *conn)
		stale bool
	}{
		{"nothing written", func(k *conn) { k.beginRequest() }, true},
		{"written, nothing read since", func(k *conn) {
			k.beginRequest()
			_, _ = k.Write([]byte("GET"))
		}, true},
		{"written, then read", func(k *conn) {
			k.beginRequest()
			_, _ = k.Write([]byte("GET"))
			_, _ = k.Read(make([]byte, 9))
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, func(p *targetConn) {
				p.write(ok)
				p.request()
			})
			tcp, err := net.Dial("tcp", target.addr())
			c.Assert(err, qt.IsNil)
			defer tcp.Close()
			var trace transportTrace
			var ctx context.Context
			ctx, trace.cancel = context.WithCancelCause(context.Background())
			k, err := newConn(tcp)
			c.Assert(err, qt.IsNil)
			trace.conn.Store(k)
			tt.steps(k)
			trace.firstByte()
			c.Assert(trace.stale.Load(), qt.Equals, tt.stale)
			c.Assert(context.Cause(ctx) == errStaleConnection, qt.Equals, tt.stale)
		})
	}
}

// A reused connection has unread bytes, or its target has closed it, and the
// transport's read loop has not run since. A request written there would receive
// those bytes as its response, or none at all, so it must not be written.
func TestWriteNeedsEmptyConnection(t *testing.T) {
	tests := []struct {
		name   string
		after  func(p *targetConn) // what the target does after the first request
		usable bool
	}{
		{"silent", func(*targetConn) {}, true},
		{"bytes left", func(p *targetConn) { p.write(ok) }, false},
		{"closed", func(p *targetConn) { p.Close() }, false},
		{"reset", (*targetConn).reset, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, func(p *targetConn) {
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
			start := k.beginRequest()
			_, err = k.Write([]byte(get))
			c.Assert(err, qt.IsNil)
			c.Assert(k.written.Load() > start, qt.IsTrue)
			start = k.beginRequest()
			eventually(c, func() bool {
				_ = k.rawConn.Control(k.peekFunc)
				return k.empty == tt.usable
			})
			n, err := k.Write([]byte(get))
			c.Assert(err == errStaleConnection, qt.Equals, !tt.usable, qt.Commentf("%v", err))
			c.Assert(n > 0, qt.Equals, tt.usable)
			c.Assert(k.written.Load() > start, qt.Equals, tt.usable)
		})
	}
}

// Reading bytes from the kernel and counting them is one step. A reader that is
// woken while the peek before a write holds the lock must not read any bytes.
func TestReadWaitsForPeek(t *testing.T) {
	c := qt.New(t)
	target := newRaw(t, func(p *targetConn) {
		p.request()
		p.write(ok)
		p.request()
	})
	tcp, err := net.Dial("tcp", target.addr())
	c.Assert(err, qt.IsNil)
	defer tcp.Close()
	k, err := newConn(tcp)
	c.Assert(err, qt.IsNil)
	k.mu.Lock()
	read := make(chan int, 1)
	go func() {
		n, _ := k.Read(make([]byte, 100))
		read <- n
	}()
	_, err = tcp.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	for i := 0; i < 20; i++ {
		eventually(c, func() bool {
			_ = k.rawConn.Control(k.peekFunc)
			return !k.empty
		})
		c.Assert(k.received.Load(), qt.Equals, int64(0))
		time.Sleep(time.Millisecond)
	}
	k.mu.Unlock()
	c.Assert(<-read, qt.Equals, len(ok))
	c.Assert(k.received.Load(), qt.Equals, int64(len(ok)))
}

// A target closes an idle connection, and the transport has not read from it
// since. If the next request were written to it, its caller would receive the
// outcome unknown. The request must get a response or fail with DidNotRun.
func TestClosedIdleConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	target := newRaw(t, func(p *targetConn) {
		if p.request() != nil {
			p.write(ok)
			p.Close()
			closed <- struct{}{}
		}
	})
	f := New(Config{})
	defer f.Close()
	for range 500 {
		params := post("veil")
		params.Target = target.addr()
		_, fail := f.Dispatch(context.Background(), params)
		if fail == nil {
			<-closed
			continue
		}
		c.Assert(fail.Execution, qt.Equals, call.DidNotRun, qt.Commentf("%v", fail))
		c.Assert(fail.Replayable, qt.IsTrue)
	}
}
