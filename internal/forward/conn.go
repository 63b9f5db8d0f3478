package forward

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// conn counts the bytes of one connection, so that a failed dispatch can tell
// whether any of its request left the process.
type conn struct {
	net.Conn
	sent   atomic.Int64 // bytes that the kernel took or is being offered
	got    atomic.Int64 // bytes read since the first write of the current request
	idle   atomic.Bool  // the current request has written nothing yet
	broken atomic.Bool  // the target ended the connection
}

// Write counts the bytes before the call as well, so that a write in progress
// is never taken for none.
func (c *conn) Write(p []byte) (n int, err error) {
	if c.idle.Load() {
		c.got.Store(0)
		c.idle.Store(false)
	}
	c.sent.Add(int64(len(p)))
	n, err = c.Conn.Write(p)
	c.sent.Add(int64(n - len(p)))
	c.note(err)
	return n, err
}

func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.got.Add(int64(n))
	c.note(err)
	return n, err
}

func (c *conn) note(err error) {
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
}

// begin starts a request on the connection and returns the bytes sent before.
func (c *conn) begin() int64 {
	c.idle.Store(true)
	return c.sent.Load()
}

// stale reports whether an answer that begins now was read before the request
// was written: it then belongs to an earlier request.
func (c *conn) stale() bool {
	return c.idle.Load() || c.got.Load() == 0
}
