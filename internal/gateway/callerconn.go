package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// withCallerConn stores a caller's connection in the context for callerClosed.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// connOf returns the connection of a request; nil if it is unknown.
func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(callerConnKey{}).(net.Conn)
	return c
}

// callerHungUp reports whether the caller of a request has closed its side, also behind a body that
// has not been read.
func callerHungUp(r *http.Request) bool {
	sc, ok := connOf(r).(syscall.Conn)
	if !ok {
		return r.Context().Err() != nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = hungUp(int(fd)) })
	return closed || err != nil
}

// callerClosed reports whether the caller of a request has closed its connection. The
// server detects this by a background read, which is late on a busy VM. Without this
// check, a request whose connection is already closed would still be sent to a target.
func callerClosed(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	_, ok := connOf(r).(syscall.Conn)
	return ok && callerHungUp(r)
}

// hungUp reports whether the caller has closed its side or reset the connection, also behind
// requests that have not been read.
func hungUp(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return n > 0 && err == nil
}
