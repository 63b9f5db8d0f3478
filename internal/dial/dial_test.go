package dial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against peers whose bytes, which nobody reads, fill the memory of the kernel.
func TestUnreadBytesAreBounded(t *testing.T) {
	const readBuffer = 64 << 10
	tests := []struct {
		name string
		cfg  Config
	}{
		{"bounded", Config{ReadBuffer: readBuffer}},
		{"with a timeout", Config{ReadBuffer: readBuffer, UnackedTimeout: time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				peer, err := l.Accept()
				if err != nil {
					return
				}
				defer peer.Close()
				_ = peer.(*net.TCPConn).SetWriteBuffer(readBuffer)
				_ = peer.SetWriteDeadline(time.Now().Add(time.Second))
				n, _ := peer.Write(make([]byte, 256<<20))
				sent <- n
			}()
			conn, err := New(tt.cfg).DialContext(context.Background(), "tcp", l.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			const read = 64 << 20 // the kernel's buffer grows as long as its bytes are read
			_, err = io.CopyN(io.Discard, conn, read)
			c.Assert(err, qt.IsNil)
			unread := <-sent - read
			c.Assert(unread <= 8*readBuffer, qt.IsTrue, qt.Commentf("%d bytes", unread))
		})
	}
}
