package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
)

// panickingBalancer panics when its status is read for the gauges.
type panickingBalancer struct{ pool.Balancer }

func (panickingBalancer) Explain(time.Time) []pool.TargetStatus { panic("broken") }

// The reporter panics while it reads a balancer under the service's lock. Requests
// must not block on that lock afterwards.
func TestReporterPanicDoesNotBlockTraffic(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	w := start(t, testService{name: "plain", targets: []string{addr}})
	sv := w.snapshot.Load().services["plain"]
	sv.mu.Lock()
	sv.balancer = panickingBalancer{sv.balancer}
	sv.mu.Unlock()
	func() {
		defer func() { w.c.Assert(recover(), qt.Not(qt.IsNil)) }()
		sv.updateGauges(time.Now())
	}()
	w.c.Assert(w.request("GET", "/v1/call/plain/", nil).body, qt.Equals, "fine")
}
