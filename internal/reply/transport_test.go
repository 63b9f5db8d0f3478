package reply

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// startServer starts a server that answers the first request of each connection with a text. The
// channel tells the end of each connection.
func startServer(c *qt.C, text string) (url string, ended chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { l.Close() })
	ended = make(chan struct{}, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				_, _ = io.Copy(io.Discard, br)
				ended <- struct{}{}
			}()
		}
	}()
	return "http://" + l.Addr().String(), ended
}

// Guards against responses of which net/http loses a part without a word.
func TestTransport(t *testing.T) {
	tests := []struct {
		name, text string
		ok         bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", true},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true},
		{"version 2.0", "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"version 0.9", "HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"status 600", "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok", false},
		{"status 099", "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok", false},
		{"blank behind a length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		{"blank behind a second length", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\nok", false},
		{"blank behind the encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"blank in an interim response", "HTTP/1.1 103 Early Hints\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"interim responses without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<20), false},
		{"two heads", "HTTP/1.1 200 OK\r\nX-Cut: aHTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nok", false},
		{"two heads in the status line", "HTTP/1.1 503 FuHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"blank in a declared trailer", "HTTP/1.1 200 OK\r\nTrailer: X Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"blank in a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Odd : 1\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			url, ended := startServer(c, tt.text)
			resp, err := Client.Get(url)
			if err == nil {
				var b []byte
				b, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				c.Assert(string(b), qt.Equals, "ok")
			}
			if tt.ok {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.As(err, new(*Error)), qt.IsTrue, qt.Commentf("%v", err))
			select {
			case <-ended:
			case <-time.After(10 * time.Second):
				c.Error("the connection was kept")
			}
		})
	}
}
