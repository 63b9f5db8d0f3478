package callers

import (
	"errors"
	"io"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// lastRequestWait is how long a connection without requests is kept open after the start of
// a shutdown, for a request that the caller has already sent.
const lastRequestWait = 10 * time.Millisecond

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// valueOf returns the value of a setting that may change; 0 if it isn't set.
func valueOf[T any](setting func() T) (value T) {
	if setting != nil {
		return setting()
	}
	return value
}

func (c *conn) idleTimeout() time.Duration {
	return valueOf(c.server.cfg.IdleTimeout)
}

// setReadTimeout sets the time from now at which reading fails; 0 means never. The caller
// must be the reading goroutine, or hold c.mu while that one isn't busy.
func (c *conn) setReadTimeout(d time.Duration) {
	switch {
	case d > 0:
		_ = c.rwc.SetReadDeadline(time.Now().Add(d))
	case c.timed:
		_ = c.rwc.SetReadDeadline(time.Time{})
	}
	c.timed = d > 0
}

// interrupt wakes the reading goroutine unless it is busy. The caller must hold c.mu.
func (c *conn) interrupt() {
	if c.reader != readerBusy {
		c.timed = true
		_ = c.rwc.SetReadDeadline(longAgo)
	}
}

// stopIdle wakes a reading goroutine that waits for a request, at the start of a shutdown.
func (c *conn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reader == readerIdle {
		c.interrupt()
	}
}

// hasUnread reports whether bytes have been read from the connection that no request has used.
func (c *conn) hasUnread() bool { return len(c.in.ahead) > 0 || c.br != nil && c.br.Buffered() > 0 }

// awaitByte waits for the first byte of the next request, without a large buffer. It returns false
// if no further request is to be read.
func (c *conn) awaitByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.hasUnread() {
		c.arrives = !c.closing
		return !c.closing
	}
	c.releaseReader()
	for final, arrived := false, false; ; {
		timeout := time.Duration(0)
		switch {
		case arrived:
		case c.server.down.Load():
			timeout, final = lastRequestWait, true
		case len(c.active) == 0:
			timeout = c.idleTimeout()
		}
		c.setReadTimeout(timeout)
		c.reader = readerIdle
		if c.wide {
			c.lease.Rest()
		}
		c.mu.Unlock()
		n, err := c.rwc.Read(c.in.start[:])
		c.mu.Lock()
		c.reader = readerBusy
		if c.wide {
			c.wide = c.lease.Resume()
		}
		switch {
		case n > 0:
			c.in.ahead = c.in.start[:n]
			c.arrives = !c.closing
			return !c.closing
		case !isTimeout(err):
			c.leaveLocked()
			return false
		case !c.closing && c.readable():
			arrived = true // at the same time as the end of the wait
		case final:
			c.linger = c.linger || len(c.active) > 0
			return false
		case c.closing || len(c.active) == 0 && !c.server.down.Load():
			return false
		}
	}
}

// await waits until ready reports true. Meanwhile it doesn't read, but notices the caller's
// close. The caller must be the reading goroutine and hold c.mu.
func (c *conn) await(ready func() bool) {
	for !ready() {
		if c.gone || c.broken || c.raw == nil {
			c.changed.Wait()
			continue
		}
		c.setReadTimeout(0)
		c.reader = readerWatching
		c.mu.Unlock()
		err := c.watch()
		c.mu.Lock()
		c.reader = readerBusy
		if !isTimeout(err) {
			c.leaveLocked()
		}
	}
}

// watch waits until the caller closes its side, also behind unread bytes. It returns io.EOF
// then, and a timeout if it was interrupted.
func (c *conn) watch() error {
	err := c.raw.Read(hungUp)
	if err == nil {
		return io.EOF
	}
	return err
}

// hungUp reports whether the peer of a socket has closed its side or reset the connection.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err != nil || fds[0].Revents != 0
		}
	}
}

// hungUp reports whether the caller has closed its side, also behind unread bytes.
func (c *conn) hungUp() (up bool) {
	if c.raw == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) { up = hungUp(fd) })
	return up || err != nil
}

// readable reports whether bytes of the caller have arrived that are not read yet.
func (c *conn) readable() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
