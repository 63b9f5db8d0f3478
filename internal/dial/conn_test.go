package dial

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// connect returns both ends of a connection, the first one from a dialer.
func connect(c *qt.C) (near net.Conn, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	near, err = New(Config{}).DialContext(context.Background(), "tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	peer, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		near.Close()
		peer.Close()
	})
	return near, peer.(*net.TCPConn)
}

// waitFor waits until the kernel has seen one of these events.
func waitFor(c *qt.C, conn net.Conn, events int16) {
	raw, err := conn.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 10_000)
		c.Check(err, qt.IsNil)
		c.Check(n, qt.Equals, 1)
	})
	c.Assert(err, qt.IsNil)
}

// Guards against a reset that only a write is told of, so that a part of a response looks complete.
func TestReaderIsToldOfReset(t *testing.T) {
	const part = "a part of a response"
	reset := func(c *qt.C, near net.Conn, far *net.TCPConn) {
		c.Assert(far.SetLinger(0), qt.IsNil)
		far.Close()
		waitFor(c, near, unix.POLLHUP)
	}
	half := func(c *qt.C, near net.Conn, far *net.TCPConn) {
		c.Assert(far.CloseWrite(), qt.IsNil)
		waitFor(c, near, unix.POLLRDHUP)
	}
	tests := []struct {
		name   string
		end    []func(c *qt.C, near net.Conn, far *net.TCPConn)
		writes int
		err    error
	}{
		{"reset", []func(*qt.C, net.Conn, *net.TCPConn){reset}, 0, syscall.ECONNRESET},
		{"reset, a write first", []func(*qt.C, net.Conn, *net.TCPConn){reset}, 1, syscall.ECONNRESET},
		{"reset, two writes first", []func(*qt.C, net.Conn, *net.TCPConn){reset}, 2, syscall.ECONNRESET},
		{"half closed", []func(*qt.C, net.Conn, *net.TCPConn){half}, 0, io.EOF},
		{"half closed, writes", []func(*qt.C, net.Conn, *net.TCPConn){half}, 2, io.EOF},
		{"reset behind the end", []func(*qt.C, net.Conn, *net.TCPConn){half, reset}, 0, io.EOF},
		{"reset behind the end, writes", []func(*qt.C, net.Conn, *net.TCPConn){half, reset}, 2, io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			near, far := connect(c)
			_, err := io.WriteString(far, part)
			c.Assert(err, qt.IsNil)
			waitFor(c, near, unix.POLLIN)
			for _, end := range tt.end {
				end(c, near, far)
			}
			for range tt.writes {
				_, _ = io.WriteString(near, "upload")
			}
			b := make([]byte, 2*len(part))
			n, err := near.Read(b)
			c.Assert(err, qt.IsNil)
			c.Assert(string(b[:n]), qt.Equals, part)
			for range 2 {
				_, err = near.Read(b)
				c.Assert(err, qt.ErrorIs, tt.err)
			}
		})
	}
}

// resetDelays are the times from the head of a response to the reset.
var resetDelays = []time.Duration{0, time.Millisecond, 10 * time.Millisecond}

// respondAndReset answers a request before it has arrived, and resets the connection.
func respondAndReset(far *net.TCPConn, delay time.Duration) {
	_, _ = far.Read(make([]byte, 4<<10))
	_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 1000))
	time.Sleep(delay)
	_ = far.SetLinger(0)
	far.Close()
}

// Guards against a part of a response that looks complete to a client of net/http while its upload is
// written.
func TestResetDuringUpload(t *testing.T) {
	const uploads, size = 160, 8 << 20 // of each delay
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	for _, delay := range resetDelays {
		go func() {
			for range uploads {
				far, err := l.Accept()
				if err != nil {
					return
				}
				respondAndReset(far.(*net.TCPConn), delay)
			}
		}()
		client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DialContext: New(Config{}).DialContext}}
		heads, complete := 0, 0
		for range uploads {
			resp, err := client.Post("http://"+l.Addr().String(), "", bytes.NewReader(make([]byte, size)))
			if err != nil {
				continue
			}
			heads++
			if _, err = io.ReadAll(resp.Body); err == nil {
				complete++
			}
			resp.Body.Close()
		}
		c.Check(complete, qt.Equals, 0, qt.Commentf("of %d, %d heads, reset after %v", uploads, heads, delay))
	}
}

// Guards against writes that end early, wait longer than their deadline or survive a close.
func TestWrite(t *testing.T) {
	c := qt.New(t)
	near, far := connect(c)
	text := make([]byte, 32<<20)
	for i := range text {
		text[i] = byte(i >> 10)
	}
	got := make(chan []byte)
	go func() {
		b := make([]byte, len(text))
		_, _ = io.ReadFull(far, b)
		got <- b
	}()
	n, err := near.Write(text)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, len(text))
	c.Assert(bytes.Equal(<-got, text), qt.IsTrue)
	c.Assert(near.SetWriteDeadline(time.Now().Add(20*time.Millisecond)), qt.IsNil)
	n, err = near.Write(text)
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(n > 0 && n < len(text), qt.IsTrue)
	c.Assert(near.SetReadDeadline(time.Now().Add(20*time.Millisecond)), qt.IsNil)
	_, err = near.Read(make([]byte, 1))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(near.SetDeadline(time.Time{}), qt.IsNil)
	ended := make(chan error)
	go func() {
		_, err := near.Write(text)
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	near.Close()
	c.Assert(<-ended, qt.ErrorIs, net.ErrClosed)
}
