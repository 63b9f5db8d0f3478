package load

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/endless"
)

// Guards against entries whose bytes without end, to many requests at a time, fill the memory of a load test.
func TestResponsesWithoutEnd(t *testing.T) {
	const calls, timeout = 20, 2 * time.Second
	for _, tt := range endless.Cases("") {
		if tt.Body {
			continue // bounded by maxResponseBytes
		}
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			client := newClient()
			defer client.CloseIdleConnections()
			r, err := endless.Call(tt, calls, func(address string) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				cache := newLocateCache(client, []string{address})
				if _, err := cache.locateFrom(ctx, address, "s"); err != nil {
					return err
				}
				return http.ErrNotSupported
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Heap < calls*endless.HeadHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Sent < calls*(4<<20), qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
		})
	}
}
