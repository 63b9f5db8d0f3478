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

// A failure domain is taken back after an evacuation. Its targets have become cold
// meanwhile, which they tell only when they are asked, and crash above what they bear in
// any second. Three entries with many callers send to them at once: none crashes, and
// each caller is served.
func TestReturnOfColdTargets(t *testing.T) {
	const bears, work, load = 13, 5 * time.Millisecond, 3 * time.Second
	w := halls(t, "hall", "hall", "annex")
	for i, k := range w.workers {
		k.Work(work)
		k.Slots = []int{8, 8, 50}[i]
		w.store.PutTarget(objects.Target{
			ID: k.ID, Address: k.Address(), Service: "gowns", Place: []string{"hall", "hall", "annex"}[i], Slots: k.Slots,
		})
	}
	entries := several(w, 3)
	w.store.Evacuate("hall")
	for _, e := range entries {
		w.until("the domain evacuated", func() bool {
			s, err := e.Status(t.Context())
			return err == nil && len(s.Evacuations) == 1
		})
	}
	for _, k := range w.workers[:2] {
		k.Chill(time.Minute, bears, true)
	}
	time.Sleep(1500 * time.Millisecond) // until a share that was just dealt counts
	w.store.TakeBack("hall")
	var all sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for i, e := range entries {
		for caller := range 8 {
			all.Go(func() {
				for n, end := 0, time.Now().Add(load); time.Now().Before(end); n++ {
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
	all.Wait()
	for i, k := range w.workers[:2] {
		w.c.Assert(k.Falls(), qt.Equals, 0, qt.Commentf("target %d", i))
		w.c.Assert(len(k.Runs()) > 0, qt.IsTrue, qt.Commentf("target %d is of use", i))
	}
	w.c.Assert(refused, qt.Equals, 0)
}
