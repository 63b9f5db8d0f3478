package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// A request that waits for a connection sends its target the timeout that remains
// when it obtains one.
func TestRemainingTimeoutAfterConnect(t *testing.T) {
	const (
		timeout = 2 * time.Second
		wait    = 600 * time.Millisecond
		slack   = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		echo string
		read func(h http.Header) (time.Duration, error)
	}{
		{"own interface", "", func(h http.Header) (time.Duration, error) { return time.ParseDuration(h.Get(call.HeaderTimeout)) }},
		{"header of a platform", "Request-Name", func(h http.Header) (time.Duration, error) { return time.ParseDuration(h.Get("Time-Left")) }},
	}
	for _, tt := range tests {
		c := qt.New(t)
		var mu sync.Mutex
		var timeouts []time.Duration
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			left, err := tt.read(r.Header)
			c.Check(err, qt.IsNil)
			mu.Lock()
			timeouts = append(timeouts, left)
			first := len(timeouts) == 1
			mu.Unlock()
			if first {
				time.Sleep(wait)
			}
			w.Header().Set("Request-Name", r.Header.Get("Request-Name"))
		}))
		f := New(Config{MaxConns: 1, EchoHeader: tt.echo})
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() {
				in := httptest.NewRequest(http.MethodGet, "/x", nil)
				in.Header.Set("Request-Name", "n")
				resp, fail := f.Dispatch(context.Background(), DispatchParams{
					Target: strings.TrimPrefix(target.URL, "http://"), Request: in, Timeout: timeout,
					TimeoutHeader: func(left time.Duration) http.Header { return http.Header{"Time-Left": {left.String()}} },
				})
				c.Check(fail == nil, qt.IsTrue)
				if resp != nil {
					resp.Close()
				}
			})
		}
		all.Wait()
		target.Close()
		c.Assert(timeouts, qt.HasLen, 2)
		c.Assert(timeouts[0] > timeout-slack, qt.IsTrue, qt.Commentf("%s: %v", tt.name, timeouts))
		c.Assert(timeouts[1] < timeout-wait+slack, qt.IsTrue, qt.Commentf("%s: %v", tt.name, timeouts))
	}
}
