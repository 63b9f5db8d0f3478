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

// A request that waits for a connection gives its target the time that is left then.
func TestTimeThatIsLeftAtTheConnection(t *testing.T) {
	const (
		timeout = 2 * time.Second
		wait    = 600 * time.Millisecond
		slack   = 100 * time.Millisecond
	)
	tests := []struct {
		name string
		echo string
		told func(h http.Header) (time.Duration, error)
	}{
		{"own interface", "", func(h http.Header) (time.Duration, error) { return time.ParseDuration(h.Get(call.HeaderTimeout)) }},
		{"header of a platform", "Request-Name", func(h http.Header) (time.Duration, error) { return time.ParseDuration(h.Get("Time-Left")) }},
	}
	for _, tt := range tests {
		c := qt.New(t)
		var mu sync.Mutex
		var told []time.Duration
		target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			left, err := tt.told(r.Header)
			c.Check(err, qt.IsNil)
			mu.Lock()
			told = append(told, left)
			first := len(told) == 1
			mu.Unlock()
			if first {
				time.Sleep(wait)
			}
			w.Header().Set("Request-Name", r.Header.Get("Request-Name"))
		}))
		f := New(Config{MaxConns: 1, Echo: tt.echo})
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() {
				in := httptest.NewRequest(http.MethodGet, "/x", nil)
				in.Header.Set("Request-Name", "n")
				a, fail := f.Dispatch(context.Background(), Try{
					Target: strings.TrimPrefix(target.URL, "http://"), Request: in, Timeout: timeout,
					Timed: func(left time.Duration) http.Header { return http.Header{"Time-Left": {left.String()}} },
				})
				c.Check(fail == nil, qt.IsTrue)
				if a != nil {
					a.Close()
				}
			})
		}
		all.Wait()
		target.Close()
		c.Assert(told, qt.HasLen, 2)
		c.Assert(told[0] > timeout-slack, qt.IsTrue, qt.Commentf("%s: %v", tt.name, told))
		c.Assert(told[1] < timeout-wait+slack, qt.IsTrue, qt.Commentf("%s: %v", tt.name, told))
	}
}
