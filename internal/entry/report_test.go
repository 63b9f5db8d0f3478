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
type brokenChooser struct{ pool.Balancer }

func (brokenChooser) Explain(time.Time) []pool.TargetStatus { panic("broken") }

// The reporter panics while it reads a balancer under the service's lock. Requests
// must not block on that lock afterwards.
func TestPanicOfReporterKeepsTraffic(t *testing.T) {
	addr := target(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	w := start(t, served{name: "plain", targets: []string{addr}})
	sv := w.site.Load().services["plain"]
	sv.mu.Lock()
	sv.chooser = brokenChooser{sv.chooser}
	sv.mu.Unlock()
	func() {
		defer func() { w.c.Assert(recover(), qt.Not(qt.IsNil)) }()
		sv.gauges(time.Now())
	}()
	w.c.Assert(w.ask("GET", "/v1/call/plain/", nil).body, qt.Equals, "fine")
}
