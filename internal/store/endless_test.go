package store_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/standin/endless"
	"plumpitch.example/plumpitch/internal/store"
)

// maxEndlessBytes bounds what may be read of bytes without end, with the buffers of the kernel.
const maxEndlessBytes = 40 << 20

// Guards against a store, or a server in its place, whose bytes without end fill the memory of an entry.
func TestStoreResponseWithoutEnd(t *testing.T) {
	tests := []struct {
		name, head, text string
		watch            bool
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "X-Long: x\r\n", false},
		{"body", "HTTP/1.1 200 OK\r\n\r\n{\"objects\":[", " ", false},
		{"event", "HTTP/1.1 200 OK\r\n\r\n{\"tag\":\"", "x", true},
		{"blanks between events", "HTTP/1.1 200 OK\r\n\r\n", " ", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var sent atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, tt.head)
				for block := strings.Repeat(tt.text, 64<<10/len(tt.text)); ; {
					n, err := io.WriteString(conn, block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}))
			t.Cleanup(srv.CloseClientConnections)
			s := store.New(store.Config{
				Addr: srv.URL, Reads: rate.NewLimiter(rate.Inf, 1), Writes: rate.NewLimiter(rate.Inf, 1),
				Backoff: store.Backoff{Base: time.Minute, Cap: time.Minute}, Timeout: 2 * time.Second,
			})
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			var err error
			if tt.watch {
				err = s.Watch(ctx, "k", 0, func(store.Change) {})
			} else {
				_, _, err = s.List(ctx, "k")
			}
			c.Assert(err, qt.IsNotNil)
			time.Sleep(50 * time.Millisecond)
			c.Assert(sent.Load() < maxEndlessBytes, qt.IsTrue, qt.Commentf("%d bytes", sent.Load()))
		})
	}
}

// Guards against a store whose bytes without end, to many calls at a time, fill the memory of an entry.
func TestManyStoreResponsesWithoutEnd(t *testing.T) {
	const (
		calls   = 8
		timeout = 2 * time.Second
		// A response is held in parts that are joined in the end, and they aren't collected at once.
		maxHeap = calls * 5 * (16 << 20)
		maxRead = calls * maxEndlessBytes
	)
	for _, tt := range endless.Cases("") {
		for _, watch := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.Name, watch), func(t *testing.T) {
				c := qt.New(t)
				r, err := endless.Call(tt, calls, func(address string) error {
					s := store.New(store.Config{
						Addr: address, Reads: rate.NewLimiter(rate.Inf, 1), Writes: rate.NewLimiter(rate.Inf, 1),
						Backoff: store.Backoff{Base: time.Minute, Cap: time.Minute}, Timeout: timeout,
					})
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					if watch {
						return s.Watch(ctx, "k", 0, func(store.Change) {})
					}
					_, err := s.Put(ctx, "k", "n", 0, nil)
					return err
				})
				c.Assert(err, qt.IsNil)
				c.Assert(r.Complete, qt.Equals, 0)
				c.Assert(r.Heap < maxHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
				c.Assert(r.Longest < 2*timeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
				c.Assert(tt.Slow || r.Sent < maxRead, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
			})
		}
	}
}
