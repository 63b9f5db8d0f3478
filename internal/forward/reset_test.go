package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a part of a response that looks complete, because the upload was told of the reset.
func TestResetDuringUpload(t *testing.T) {
	const uploads, size, callers = 160, 8 << 20, 4
	parts := make([][]byte, size>>20)
	for i := range parts {
		parts[i] = make([]byte, 1<<20)
	}
	for _, length := range []int{1000, 60_000} {
		for _, delay := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %v", length, delay), func(t *testing.T) {
				c := qt.New(t)
				target := newRaw(t, func(p *targetConn) {
					r, err := http.ReadRequest(p.br)
					if err != nil {
						return
					}
					p.write("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n\r\n" + strings.Repeat("x", length))
					time.Sleep(delay)
					p.reset()
				})
				f := New(Config{EchoHeader: "X-Id"})
				defer f.Close()
				complete := make(chan int)
				for range callers {
					go func() {
						n := 0
						for range uploads / callers {
							if uploadCompletes(f, target.addr(), parts) {
								n++
							}
						}
						complete <- n
					}()
				}
				n := 0
				for range callers {
					n += <-complete
				}
				c.Assert(n, qt.Equals, 0, qt.Commentf("of %d", uploads))
			})
		}
	}
}

// uploadCompletes sends a request, and reports whether its response looks complete.
func uploadCompletes(f *Forwarder, target string, parts [][]byte) bool {
	r := httptest.NewRequest("POST", "/a", nil)
	r.Header.Set("X-Id", "1")
	resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: target, Request: r, Body: parts, Timeout: waitLimit})
	if fail != nil {
		return false
	}
	defer resp.Close()
	if resp.Body == nil {
		return true
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err == nil
}

// Guards against early responses to uploads that are taken for cut ones.
func TestResponseDuringUpload(t *testing.T) {
	const uploads, size, length = 20, 8 << 20, 1000
	tests := []struct {
		name string
		line string
		end  func(p *targetConn, body io.Reader) (again bool)
	}{
		{"closes its side, reads on", "", func(p *targetConn, _ io.Reader) bool {
			_ = p.Conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, p.br)
			return false
		}},
		{"reads on, then closes", "", func(_ *targetConn, body io.Reader) bool {
			_, _ = io.Copy(io.Discard, body)
			return false
		}},
		{"keeps the connection, reads on", fmt.Sprintf("Content-Length: %d\r\n", length), func(_ *targetConn, body io.Reader) bool {
			_, _ = io.Copy(io.Discard, body)
			return true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := newRaw(t, func(p *targetConn) {
				for again := true; again; {
					r, err := http.ReadRequest(p.br)
					if err != nil {
						return
					}
					p.write("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\n" + tt.line + "\r\n" + strings.Repeat("x", length))
					again = tt.end(p, r.Body)
				}
			})
			f := New(Config{EchoHeader: "X-Id"})
			defer f.Close()
			for range uploads {
				qt.Assert(t, uploadCompletes(f, target.addr(), [][]byte{make([]byte, size)}), qt.IsTrue)
			}
		})
	}
}
