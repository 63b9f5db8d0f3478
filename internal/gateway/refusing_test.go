package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// Guards against a record with an address that nothing listens on that costs callers their requests,
// which other targets could run.
func TestRefusingAddressCostsNoRequest(t *testing.T) {
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		for _, attempts := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(kind, attempts), func(t *testing.T) {
				w := newWorld(t, worldConfig{targets: 2, routeType: kind, attempts: attempts})
				address := refusingAddress(w.c)
				e := w.startEntry("a").waitReady()
				for n := range 40 {
					if n == 20 {
						w.store.PutTarget(objects.Target{ID: "odd", Address: address, Service: "gowns", Place: "hall", Slots: 100})
						w.waitFor("the record", func() bool { return e.hasTarget("odd") })
					}
					for i := range 5 {
						a := e.call("GET", fmt.Sprint("/a/", n, i), "")
						w.c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%d: %s", n, a.header.Get("Plumpitch-Reason")))
						w.c.Assert(w.runs(a.id), qt.Equals, 1)
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
}

// refusingAddress returns an address that refuses connections and that nobody else gets.
func refusingAddress(c *qt.C) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = unix.Close(fd) })
	c.Assert(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	name, err := unix.Getsockname(fd)
	c.Assert(err, qt.IsNil)
	return fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
}
