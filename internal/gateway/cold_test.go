package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// The evacuation of a failure domain ends. Its targets have become cold in the meantime,
// report that only in response to a probe, and crash if they get more than a fixed number
// of requests in any second. Three entries with many callers start to use them at once.
// No target may crash, and each request must be served.
func TestReturnOfColdTargets(t *testing.T) {
	const maxRate, serviceTime, duration = 13, 5 * time.Millisecond, 3 * time.Second
	w := newWorldIn(t, "hall", "hall", "annex")
	for i, k := range w.workers {
		k.SetServiceTime(serviceTime)
		k.Slots = []int{8, 8, 50}[i]
		w.store.PutTarget(objects.Target{
			ID: k.ID, Address: k.Address(), Service: "gowns", Place: []string{"hall", "hall", "annex"}[i], Slots: k.Slots,
		})
	}
	entries := startEntries(w, 3)
	w.store.Evacuate("hall")
	for _, e := range entries {
		w.waitFor("the domain evacuated", func() bool {
			s, err := e.Status(t.Context())
			return err == nil && len(s.Evacuations) == 1
		})
	}
	for _, k := range w.workers[:2] {
		k.StartCold(time.Minute, maxRate, true)
	}
	time.Sleep(1500 * time.Millisecond) // until the entries' shares of the cold targets (package quota) take effect
	w.store.EndEvacuation("hall")
	var callers sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i, e := range entries {
		for caller := range 8 {
			callers.Go(func() {
				for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
					a := e.callWith(t.Context(), fmt.Sprint(i, "-", caller, "-", n), "GET", "/a/x", "")
					if a.status != http.StatusOK {
						mu.Lock()
						refused++
						mu.Unlock()
					}
				}
			})
		}
	}
	callers.Wait()
	for i, k := range w.workers[:2] {
		w.c.Assert(k.OverloadCrashes(), qt.Equals, 0, qt.Commentf("target %d", i))
		w.c.Assert(len(k.Runs()) > 0, qt.IsTrue, qt.Commentf("target %d got no request", i))
	}
	w.c.Assert(refused, qt.Equals, 0)
}
