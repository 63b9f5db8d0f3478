package entry

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/platform"
)

// Guards against one odd object of the store that keeps an entry that starts from getting ready, and one
// that runs from taking further targets, drains and settings.
func TestEntryBesideOddObjects(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for _, odd := range []string{nested, `{"id":"odd","name":"odd","more":` + nested + `}`, `{"id":"odd","name":"odd","boot":1e400,"version":1e400}`} {
		t.Run(odd[:30], func(t *testing.T) {
			var began atomic.Int64
			w := prepare(t, testService{name: "plain", targets: []string{startCountingTarget(t, &began)}})
			w.platform.SetFaults(platform.Faults{OddObject: odd})
			w.serve()
			w.c.Assert(w.request("GET", "/v1/call/plain/", nil).StatusCode, qt.Equals, http.StatusOK)
			w.platform.PutVM(platform.VM{
				ID: "new", Addr: startCountingTarget(t, &began), Place: "fremantle-hall", Service: "plain", Slots: 2, Boot: 1, State: platform.Live,
			})
			w.waitFor("the new target", func() bool { return len(w.snapshot.Load().services["plain"].explain(time.Now())) == 2 })
		})
	}
}
