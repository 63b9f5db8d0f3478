package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A target responds with a status that is none, one of which net/http refuses to write.
// The caller must get a final response and the slot must be freed. Otherwise each such
// response would occupy a slot permanently, and the target would finally get no work at all.
func TestInvalidStatusFreesSlot(t *testing.T) {
	addr := startRawTarget(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 "+r.URL.Query().Get("status")+" Odd\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	w := start(t, testService{name: "odd", targets: []string{addr}})
	for _, status := range []string{"099", "600", "099", "600"} {
		w.c.Assert(w.request("GET", "/v1/call/odd/?status="+status, nil).outcome(), qt.Equals, "unknown invalid")
	}
	w.waitIdle("odd")
}
