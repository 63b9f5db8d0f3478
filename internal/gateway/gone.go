package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// withConn keeps a caller's connection for gone.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// gone reports whether the caller of a request has closed its connection. The
// server notices that by a read of its own, which comes late on a busy VM: the
// request and the end of its connection then lie there together, and the
// request would be sent to a target for nobody.
func gone(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	sc, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil
	})
	return ended || err != nil
}
