package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/endless"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/platform"
)

// Guards against a store whose bytes without end, to all calls that an entry makes at a time, fill its memory.
func TestStoreCallsWithoutEnd(t *testing.T) {
	const (
		calls   = 8
		timeout = 2 * time.Second
		// Each caller makes two calls. A response is held in parts that are joined in the end, and they
		// aren't collected at once.
		maxHeap = 2 * calls * 5 * (8 << 20)
		maxRead = calls * (9 << 20)
	)
	for _, tt := range endless.Cases("Store-Era: 1\r\n") {
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			client := storeClient()
			defer client.CloseIdleConnections()
			r, err := endless.Call(tt, calls, func(address string) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				store := platform.NewStore(platform.StoreConfig{Address: address, HTTP: client, OnDecodeError: func(string, string, error) {}})
				if _, _, err := store.Targets().List(ctx); err != nil {
					_, _, err = store.Targets().Watch(ctx, roster.NewRevision(0, 1), time.Millisecond)
					return err
				}
				return nil
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Complete, qt.Equals, 0)
			c.Assert(r.Heap < maxHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Longest < 2*timeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
			c.Assert(tt.Slow || r.Sent < 2*maxRead, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
			if !tt.Body {
				c.Assert(r.Heap < 2*calls*endless.HeadHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			}
		})
	}
}
