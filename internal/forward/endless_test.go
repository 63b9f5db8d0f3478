package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/endless"
)

// Guards against targets whose bytes without end, on many connections at a time, fill the memory of
// an entry or hold requests beyond their timeout.
func TestManyResponsesWithoutEnd(t *testing.T) {
	const (
		conns   = 50
		timeout = 400 * time.Millisecond
		// maxHeap is what all responses may hold together, and maxRead what is read of a head.
		maxHeap = conns * endless.HeadHeap
		maxRead = 4 << 20
	)
	for _, tt := range endless.Cases("X-Id: q-1\r\n") {
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			buffers := &countedBuffers{}
			buffers.limit.Store(8 << 20)
			f := New(Config{EchoHeader: "X-Id", MaxBufferedBytes: 1 << 20, Buffers: buffers})
			defer f.Close()
			r, err := endless.Call(tt, conns, func(address string) error { return dispatchEndless(t.Context(), f, address, timeout) })
			c.Assert(err, qt.IsNil)
			c.Assert(r.Complete, qt.Equals, 0)
			c.Assert(r.Heap < maxHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Longest < 5*timeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
			c.Assert(tt.Long || r.Sent < conns*maxRead, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
			c.Assert(buffers.used.Load(), qt.Equals, int64(0))
		})
	}
}

// Guards against targets whose health checks without end fill the memory of an entry.
func TestManyHealthResponsesWithoutEnd(t *testing.T) {
	const conns, timeout, maxHeap, maxRead = 50, time.Second, 50 * endless.HeadHeap, 1 << 20
	for _, tt := range endless.Cases("") {
		t.Run(tt.Name, func(t *testing.T) {
			c := qt.New(t)
			f := New(Config{EchoHeader: "X-Id"})
			defer f.Close()
			r, err := endless.Call(tt, conns, func(address string) error {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				_, _, err := f.Probe(ctx, ProbeParams{Target: address, Path: "/health", IsOwn: func(http.Header) bool { return true }})
				return err
			})
			c.Assert(err, qt.IsNil)
			c.Assert(r.Complete, qt.Equals, 0)
			c.Assert(r.Heap < maxHeap, qt.IsTrue, qt.Commentf("%d KB", r.Heap>>10))
			c.Assert(r.Longest < 2*timeout, qt.IsTrue, qt.Commentf("%v", r.Longest))
			c.Assert(r.Sent < conns*maxRead, qt.IsTrue, qt.Commentf("%d KB", r.Sent>>10))
		})
	}
}

// dispatchEndless sends a request and reads the response until it fails or the timeout has passed.
func dispatchEndless(ctx context.Context, f *Forwarder, target string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("X-Id", "q-1")
	resp, fail := f.Dispatch(ctx, DispatchParams{Target: target, Request: r, Timeout: timeout})
	if fail != nil {
		return fail
	}
	defer resp.Close()
	if resp.Body == nil {
		return nil
	}
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}
