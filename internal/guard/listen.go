package guard

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// noKeepAlive stands for connections without TCP keep-alive: the server has its own timeouts.
const noKeepAlive = -1

// Listen opens a listener whose connections have bounded buffers.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAlive: noKeepAlive, Control: func(_, _ string, c syscall.RawConn) (err error) {
		controlErr := c.Control(func(fd uintptr) {
			if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, idleReceiveBuffer); err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, idleSendBuffer)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return c.Listen(context.Background(), "tcp", address)
}
