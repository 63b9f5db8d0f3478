package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A key is used for a second request. If it is the same request, it gets the
// recorded response, otherwise a final response with outcome not-run. Neither
// reaches the target, also if the body is chunked or longer than
// maxBufferedBody.
func TestRepeatedKey(t *testing.T) {
	var runs atomic.Int64
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Run", "yes")
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d of %d bytes", runs.Add(1), len(b))
	})
	w := start(t, testService{name: "keyed", settings: `"requirekey": true`, targets: []string{addr}})
	long := strings.Repeat("x", 100<<10)
	for n, tt := range []struct {
		name, first, second, path string
		chunked, reused           bool
	}{
		{name: "same", first: "veil", second: "veil"},
		{name: "same, in chunks", first: "veil", second: "veil", chunked: true},
		{name: "same, long", first: long, second: long},
		{name: "same, long and in chunks", first: long, second: long, chunked: true},
		{name: "other body", first: "veil", second: "gown", reused: true},
		{name: "other body in chunks", first: "veil", second: "gown", chunked: true, reused: true},
		{name: "other long body", first: long, second: "y" + long[1:], reused: true},
		{name: "long body of another length", first: long, second: long + "x", reused: true},
		{name: "other path", first: "veil", second: "veil", path: "other", reused: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.subtest(t)
			send := func(path, body string) testResponse {
				var r io.Reader = strings.NewReader(body)
				if tt.chunked {
					r = chunkedBody{r}
				}
				return w.request("POST", "/v1/call/keyed/"+path, r, "Idempotency-Key", fmt.Sprintf("key-%d", n))
			}
			first := send("", tt.first)
			w.c.Assert(first.StatusCode, qt.Equals, http.StatusCreated)
			w.c.Assert(first.Header.Get(headerReplay), qt.Equals, "")
			before := runs.Load()
			second := send(tt.path, tt.second)
			w.c.Assert(runs.Load(), qt.Equals, before)
			if tt.reused {
				w.c.Assert(second.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
				w.c.Assert(second.outcome(), qt.Equals, "not-run key-reused")
				return
			}
			w.c.Assert(second.StatusCode, qt.Equals, http.StatusCreated)
			w.c.Assert(second.body, qt.Equals, first.body)
			w.c.Assert(second.Header.Get("X-Run"), qt.Equals, "yes")
			w.c.Assert(second.Header.Get(headerReplay), qt.Equals, "true")
		})
	}
}
