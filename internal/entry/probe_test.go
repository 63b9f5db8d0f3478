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
