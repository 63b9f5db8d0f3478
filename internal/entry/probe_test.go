package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a target that counts as healthy by a probe response without end.
func TestProbeResponseWithoutEnd(t *testing.T) {
	c := qt.New(t)
	endless := false
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for block := make([]byte, 1<<10); endless; {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(target.Close)
	p := newProber()
	for _, endless = range []bool{false, true} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, ok := p.send(ctx, target.URL)
		c.Assert(ok, qt.Equals, !endless)
		c.Assert(ctx.Err(), qt.IsNil)
	}
}

// Guards against a target that counts as healthy by a probe response of which net/http has lost a part.
func TestMalformedProbeResponse(t *testing.T) {
	tests := []struct {
		name, line string
		ok         bool
	}{
		{"well-formed", "X-Odd: 1", true},
		{"blank behind a name", "X-Odd : 1", false},
		{"blank behind a second length", "Content-Length : 9", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.line+"\r\nContent-Length: 2\r\n\r\nok")
			}))
			t.Cleanup(target.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, ok := newProber().send(ctx, target.URL)
			qt.Assert(t, ok, qt.Equals, tt.ok)
		})
	}
}
