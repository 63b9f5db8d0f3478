package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A request lasts longer than each step of a stop may take, but not longer than the service's timeout.
// Guards against one that is cut off while its target works.
func TestStopWaitsForLongRequests(t *testing.T) {
	began := make(chan struct{})
	target := startTarget(t, func(http.ResponseWriter, *http.Request) {
		close(began)
		time.Sleep(1500 * time.Millisecond)
	})
	w := prepare(t, testService{name: "ledger", targets: []string{target}})
	w.stopTimeout = 200 * time.Millisecond
	stop := w.serve()
	answered := make(chan int, 1)
	go func() {
		res, err := client.Post(w.url+"/v1/call/ledger/x", "", nil)
		if err != nil {
			answered <- 0
			return
		}
		res.Body.Close()
		answered <- res.StatusCode
	}()
	<-began
	stop()
	qt.Assert(t, <-answered, qt.Equals, http.StatusOK)
}
