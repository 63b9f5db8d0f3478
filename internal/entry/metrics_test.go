package entry

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scrape returns the values of a service's metrics, by name.
func (w *testEntry) scrape(service string) map[string]string {
	w.t.Helper()
	res, err := client.Get("http://" + w.Addresses().Operators + "/metrics")
	w.c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	w.c.Assert(err, qt.IsNil)
	values := map[string]string{}
	for line := range strings.Lines(string(b)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		if name, labels, ok := strings.Cut(name, "{"); ok && strings.Contains(labels, `service="`+service+`"`) {
			values[name] = value
		}
	}
	return values
}

// The metrics show the first dispatches, retries and hedges of a service, and the
// share that limits retries and hedges.
func TestRetriesAndHedgesAreCounted(t *testing.T) {
	var bad, slow atomic.Int64
	retried := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" && bad.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	slowOnce := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" && slow.Add(1) == 1 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	w := start(
		t,
		testService{name: "retried", settings: `"retryshare": "100%"`, targets: []string{retried}},
		testService{name: "hedged", settings: `"retryshare": "100%", "hedge": true, "hedgeafter": "20ms"`, targets: []string{startTarget(t, slowOnce), startTarget(t, slowOnce)}},
	)
	for _, path := range []string{"retried/", "retried/", "retried/bad", "hedged/", "hedged/", "hedged/slow"} {
		w.c.Assert(w.request("GET", "/v1/call/"+path, nil).StatusCode, qt.Equals, http.StatusOK)
	}
	for service, want := range map[string][3]string{"retried": {"3", "1", "0"}, "hedged": {"3", "0", "1"}} {
		w.waitFor("the metrics of "+service, func() bool {
			m := w.scrape(service)
			got := [3]string{m["plumpitch_dispatches"], m["plumpitch_retries"], m["plumpitch_hedges"]}
			return got == want && m["plumpitch_retry_share"] == "1"
		})
	}
}
