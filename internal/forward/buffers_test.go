package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// countedBuffers has a limited number of bytes.
type countedBuffers struct{ limit, used, most atomic.Int64 }

func (b *countedBuffers) Buffer(bytes int64) bool {
	if b.used.Load()+bytes > b.limit.Load() {
		return false
	}
	b.most.Store(max(b.most.Load(), b.used.Add(bytes)))
	return true
}

func (b *countedBuffers) Return(bytes int64) { b.used.Add(-bytes) }

// Guards against responses of targets that take all memory of the entry, and against buffers that
// are never given back.
func TestBuffersAreBounded(t *testing.T) {
	const large = 600 << 10
	tests := []struct {
		name     string
		limit    int64 // of the buffers
		bytes    int   // of the response
		chunked  bool
		buffered bool
	}{
		{"room", 4 << 20, large, false, true},
		{"room, chunked", 4 << 20, large, true, true},
		{"no room", 100 << 10, large, false, false},
		{"no room, chunked", 100 << 10, large, true, false},
		{"small without room", 0, 3 << 10, true, true},
		{"beyond the limit of a response", 4 << 20, 2 << 20, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			body := strings.Repeat("veil", tt.bytes/4)
			target := newRaw(t, func(p *targetConn) {
				for p.request() != nil {
					head := "HTTP/1.1 200 OK\r\nX-Id: q-1\r\n"
					if tt.chunked {
						p.write(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body))
					} else {
						p.write(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
					}
				}
			})
			buffers := &countedBuffers{}
			buffers.limit.Store(tt.limit)
			f := New(Config{EchoHeader: "X-Id", MaxBufferedBytes: 1 << 20, Buffers: buffers})
			defer f.Close()
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set("X-Id", "q-1")
			resp, fail := f.Dispatch(t.Context(), DispatchParams{Target: target.addr(), Request: r, Timeout: waitLimit})
			c.Assert(fail == nil, qt.IsTrue, qt.Commentf("%v", fail))
			c.Assert(resp.Body == nil, qt.Equals, tt.buffered)
			got := string(resp.Buffered)
			if resp.Body != nil {
				rest, err := io.ReadAll(resp.Body)
				c.Assert(err, qt.IsNil)
				got = string(rest)
			}
			c.Assert(got == body, qt.IsTrue)
			c.Assert(buffers.most.Load() <= tt.limit, qt.IsTrue)
			resp.Close()
			c.Assert(buffers.used.Load(), qt.Equals, int64(0))
		})
	}
}
