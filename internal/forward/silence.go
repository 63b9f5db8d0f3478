package forward

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// silence bounds how long bytes that were sent may stay unacknowledged.
func silence(bound time.Duration) func(network, address string, c syscall.RawConn) error {
	if bound <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) (err error) {
		failed := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(bound.Milliseconds()))
		})
		if failed != nil {
			return failed
		}
		return err
	}
}
