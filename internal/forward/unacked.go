package forward

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout returns a net.Dialer Control function that limits how long sent
// bytes may stay unacknowledged; nil if there is no limit.
func unackedTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	if limit <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}
}
