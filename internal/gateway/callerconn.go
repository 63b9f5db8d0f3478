package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

// callerConnKey is the context key of a request's connection.
type callerConnKey struct{}

// withCallerConn stores a caller's connection in the context for callerClosed.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerClosed reports whether the caller of a request has closed its connection. The
// server detects this by a background read, which is late on a busy VM. Without this
// check, a request whose connection is already closed would still be sent to a target.
func callerClosed(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	sc, ok := r.Context().Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	eof := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		eof = n == 0 && err == nil
	})
	return eof || err != nil
}
