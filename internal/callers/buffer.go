package callers

import "golang.org/x/sys/unix"

// setReceiveBuffer bounds the bytes that the caller may send before they are read.
func (c *conn) setReceiveBuffer(bytes int) {
	if t, ok := c.rwc.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = t.SetReadBuffer(bytes) // fails if the connection has ended
	}
}

// narrow sets the receive buffer, and reports whether no more bytes than that are unread. What has
// arrived before stays.
func (c *conn) narrow(receiveBuffer int) bool {
	c.setReceiveBuffer(receiveBuffer)
	return c.unread() <= receiveBuffer
}

// wideSend is how many bytes of a response are sent before its send buffer is widened, and before it is
// tried again.
const wideSend = 16 << 10

// widenSend widens the send buffer for a large response.
func (c *conn) widenSend(bytes int) {
	before := c.written
	c.written += bytes
	if c.sendWide || c.written/wideSend == before/wideSend {
		return
	}
	if size := c.lease.SendBuffer(); size > 0 {
		c.sendWide = true
		c.setSendBuffer(size)
	}
}

// endSend notes the end of the response whose turn it is.
func (c *conn) endSend() {
	if c.sendWide {
		c.lease.Sent()
	}
	c.written, c.sendWide = 0, false
}

func (c *conn) setSendBuffer(bytes int) {
	if t, ok := c.rwc.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = t.SetWriteBuffer(bytes) // fails if the connection has ended
	}
}

// narrowSend sets the send buffer if no more bytes than that are unsent.
func (c *conn) narrowSend(sendBuffer int) bool {
	if c.unsent() > sendBuffer {
		return false
	}
	c.setSendBuffer(sendBuffer)
	return true
}

// unread returns how many bytes have arrived that are not read yet.
func (c *conn) unread() (n int) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}

// unsent returns how many bytes the caller hasn't acknowledged.
func (c *conn) unsent() (n int) {
	if c.raw == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
	return n
}
