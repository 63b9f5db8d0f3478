package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
)

// crashPath is the path of the request that crashes its targets.
const crashPath = "/a/poison"

// replacementDelay is the time from the end of a target until another one replaces it.
const replacementDelay = 300 * time.Millisecond

// crashOnPath crashes the target that runs a request for crashPath.
func crashOnPath(r *http.Request) worker.Fault {
	return worker.Fault{Crash: r.URL.Path == crashPath}
}

func noFault(*http.Request) worker.Fault { return worker.Fault{} }

// crashWorld is a world whose targets end when they crash, and are replaced by new ones.
type crashWorld struct {
	*world
	mu     sync.Mutex
	faults func(*http.Request) worker.Fault
	ending worker.Ending
	ends   []time.Time
	// recordTime is how long the record of a target that has ended stays.
	recordTime time.Duration
}

func newCrashWorld(t *testing.T, cfg worldConfig, faults func(*http.Request) worker.Fault) *crashWorld {
	targets := cfg.targets
	cfg.targets = 0
	w := &crashWorld{world: newWorld(t, cfg), faults: faults, recordTime: replacementDelay}
	for range targets {
		w.startMortal()
	}
	return w
}

// startMortal starts a target that ends when it crashes.
func (w *crashWorld) startMortal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := w.startTarget("gowns")
	k.SetServiceTime(20 * time.Millisecond)
	k.OnCrash = func() { w.end(k) }
	k.SetFaults(w.faults)
}

// target returns the i-th target that was started.
func (w *crashWorld) target(i int) *worker.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[i]
}

// end ends a target and starts another one after replacementDelay.
func (w *crashWorld) end(k *worker.Worker) {
	k.End(w.ending)
	w.mu.Lock()
	w.ends = append(w.ends, time.Now())
	w.mu.Unlock()
	time.AfterFunc(replacementDelay, w.startMortal)
	time.AfterFunc(w.recordTime, func() { w.store.Delete("servers", k.ID) })
}

// startRestarting starts a target that restarts at once under its ID when it crashes.
func (w *crashWorld) startRestarting() {
	k := w.startTarget("gowns")
	k.SetServiceTime(20 * time.Millisecond)
	k.SetFaults(w.faults)
	k.OnCrash = func() {
		k.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ends = append(w.ends, time.Now())
		w.c.Check(k.Restart(), qt.IsNil)
		w.store.PutTarget(objects.Target{
			ID: k.ID, Address: k.Address(), Service: "gowns", Place: "hall", Slots: k.Slots, StartedMillis: time.Now().UnixMilli(),
		})
	}
}

// crashes returns the number of targets that have ended.
func (w *crashWorld) crashes() int {
	all, _ := w.endCounts()
	return all
}

// endCounts returns how many targets have ended, and how many of them later than lateCrashTime
// after the third.
func (w *crashWorld) endCounts() (all, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.ends {
		if len(w.ends) >= crashLimit && at.Sub(w.ends[crashLimit-1]) > lateCrashTime {
			late++
		}
	}
	return len(w.ends), late
}
