package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/platform"
)

// panicMessage makes the control loop panic.
type panicMessage struct{ applied *atomic.Int64 }

func (p panicMessage) apply(time.Time, *control) {
	p.applied.Add(1)
	panic("panic in the control loop")
}

// The control loop panics. Requests continue meanwhile, the supervisor restarts the
// loop, and it still has its services: a target that the platform lists afterwards
// is added to the existing service.
func TestControlLoopIsRestarted(t *testing.T) {
	var began, applied atomic.Int64
	addr := startCountingTarget(t, &began)
	w := start(t, testService{name: "plain", targets: []string{addr}})
	before := w.snapshot.Load().services["plain"]
	for range 2 {
		w.control.enqueue(t.Context(), panicMessage{&applied})
	}
	w.waitFor("the control loop to panic twice", func() bool { return applied.Load() == 2 })
	w.c.Assert(w.request("GET", "/v1/call/plain/", nil).StatusCode, qt.Equals, http.StatusOK)
	w.platform.PutVM(platform.VM{
		ID: "new", Addr: startCountingTarget(t, &began), Place: "fremantle-hall", Service: "plain", Slots: 2, Boot: 1, State: platform.Live,
	})
	w.waitFor("the new target", func() bool { return len(w.snapshot.Load().services["plain"].explain(time.Now())) == 2 })
	w.c.Assert(w.snapshot.Load().services["plain"], qt.Equals, before)
}
