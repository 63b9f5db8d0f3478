package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rawCaller is a caller that writes requests to its connection byte by byte.
type rawCaller struct {
	w *world
	net.Conn
	reader *bufio.Reader
}

// dialCaller connects to an entry.
func dialCaller(w *world, e *entry) *rawCaller {
	c, err := net.Dial("tcp", e.self.CallerAddress)
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { c.Close() })
	w.c.Assert(c.SetDeadline(time.Now().Add(waitLimit)), qt.IsNil)
	return &rawCaller{w, c, bufio.NewReader(c)}
}

func (c *rawCaller) write(text string) {
	_, err := io.WriteString(c, text)
	c.w.c.Assert(err, qt.IsNil)
}

// read returns the next response with its complete body.
func (c *rawCaller) read() *http.Response {
	r, err := http.ReadResponse(c.reader, nil)
	c.w.c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(r.Body)
	c.w.c.Assert(err, qt.IsNil)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return r
}

// A caller closes its pipelined connection behind requests that have not been read yet, or resets it.
// Guards against a request that is still sent to a target, because only a close with nothing
// before it is noticed.
func TestCallerClosed(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *net.TCPConn)
		want  bool
	}{
		{"open", func(*net.TCPConn) {}, false},
		{"open with an unread request", func(c *net.TCPConn) { _, _ = io.WriteString(c, "GET") }, false},
		{"close", func(c *net.TCPConn) { c.Close() }, true},
		{"half-close", func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
		{"close behind an unread request", func(c *net.TCPConn) { _, _ = io.WriteString(c, "GET"); c.Close() }, true},
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			server, err := l.Accept()
			qt.Assert(t, err, qt.IsNil)
			defer server.Close()
			tt.leave(c.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond)
			r, err := http.NewRequestWithContext(withCallerConn(context.Background(), server), http.MethodGet, "http://h/", nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, callerClosed(r), qt.Equals, tt.want)
		})
	}
}
