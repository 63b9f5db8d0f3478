package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/standin/endless"
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

// Guards against targets whose probe responses without end fill the memory of an entry.
func TestManyProbeResponsesWithoutEnd(t *testing.T) {
	const calls, timeout, maxHeap, maxRead = 50, time.Second, 50 * endless.HeadHeap, 50 << 20
	for _, tt := range endless.Cases("") {
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			p := newProber()
			r, err := endless.Call(tt, calls, func(address string) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				if _, ok := p.send(ctx, "http://"+address); !ok {
					return errors.New("probe failed")
				}
				return nil
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Complete, qt.Equals, 0)
			c.Assert(r.Heap < maxHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Longest < 2*timeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
			c.Assert(r.Sent < maxRead, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
		})
	}
}
