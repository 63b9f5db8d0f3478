package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A target responds with a status that net/http refuses to write. The caller must
// get a final response and the slot must be freed. Otherwise each such response
// would occupy a slot permanently, and the target would finally get no work at all.
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
			_, _ = io.WriteString(c, "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	w := start(t, testService{name: "odd", targets: []string{addr}})
	for range 4 {
		w.c.Assert(w.request("GET", "/v1/call/odd/", nil).outcome(), qt.Equals, "unknown panic")
	}
	w.waitIdle("odd")
}
