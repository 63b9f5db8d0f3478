package forward

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// Guards against a refusal to start a request that is taken from a response to another one.
func TestShedNeedsTheRequestID(t *testing.T) {
	tests := []struct {
		name string
		ids  func(id string) []string
		shed bool
		ok   bool // the response is taken for that of the request
	}{
		{"own", func(id string) []string { return []string{id} }, true, true},
		{"none", func(string) []string { return nil }, false, true},
		{"empty", func(string) []string { return []string{""} }, false, true},
		{"two", func(id string) []string { return []string{id, "another"} }, false, false},
		{"another", func(string) []string { return []string{"another"} }, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			target := newRaw(t, func(p *targetConn) {
				for r := p.request(); r != nil; r = p.request() {
					head := "HTTP/1.1 503 Service Unavailable\r\nPlumpitch-Load: shed\r\nContent-Length: 0\r\n"
					for _, id := range tt.ids(r.Header.Get(call.HeaderRequest)) {
						head += fmt.Sprintf("%s: %s\r\n", call.HeaderRequest, id)
					}
					p.write(head + "\r\n")
				}
			})
			f := New(Config{})
			defer f.Close()
			resp, fail := f.Dispatch(context.Background(), DispatchParams{Target: target.addr(), Request: httptest.NewRequest("POST", "/a", nil), Timeout: waitLimit})
			c.Assert(fail == nil, qt.Equals, tt.ok, qt.Commentf("%v", fail))
			if fail == nil {
				c.Assert(resp.Load.Shed, qt.Equals, tt.shed)
				c.Assert(resp.Load.Known, qt.IsTrue)
			}
		})
	}
}
