package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

var endings = []struct {
	name   string
	ending worker.Ending
}{
	{"refusing", worker.Refusing},
	{"accepting", worker.Accepting},
	{"resetting", worker.Resetting},
	{"mute", worker.Mute},
	{"dark", worker.Dark},
	{"lingering", worker.Lingering},
}

// checkLateCrashes sends a request that crashes targets from many callers, and checks that it reaches
// few of them late and that another one is served.
func (w *crashWorld) checkLateCrashes(entries []*entry) {
	w.c.Helper()
	callers := callersFrom(40)
	for i := range 40 {
		go entries[i%len(entries)].callFrom(callers[i%len(callers)], fmt.Sprint("c-", i), crashPath, "", "")
		time.Sleep(200 * time.Millisecond)
	}
	all, late := w.endCounts()
	w.c.Logf("%d targets ended, %d late", all, late)
	w.c.Assert(late <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d late of %d", late, all))
	w.waitFor("another request is served", func() bool { return entries[0].call("GET", "/a/other", "").status == http.StatusOK })
}

// A request crashes its targets, which end without refusing connections. No other request is sent.
// Guards against ends of targets that are noticed only if they refuse connections, or only by way
// of other requests.
func TestCrashingRequestByEnding(t *testing.T) {
	for _, tt := range endings {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newCrashWorld(t, worldConfig{targets: 12}, crashOnPath)
			w.ending, w.recordTime = tt.ending, 4500*time.Millisecond
			w.checkLateCrashes(startEntries(w.world, 3))
		})
	}
}

// A request with one header crashes its targets, whose ports go on accepting connections, and every
// second one of the same content is sound. Guards against sound requests that free a crashing one.
func TestCrashingHeaderByEnding(t *testing.T) {
	t.Parallel()
	const name, crashing = "X-Layout", "broken"
	w := newCrashWorld(t, worldConfig{targets: 12}, func(r *http.Request) worker.Fault {
		return worker.Fault{Crash: r.Header.Get(name) == crashing}
	})
	w.ending, w.recordTime = worker.Accepting, 4500*time.Millisecond
	entries := startEntries(w.world, 3)
	callers := callersFrom(40)
	for i := range 120 {
		value := crashing
		if i%2 == 0 {
			value = "plain"
		}
		entries[i%len(entries)].callFrom(callers[i%len(callers)], fmt.Sprint("h-", i), popularPath, name, value)
		time.Sleep(60 * time.Millisecond)
	}
	all, late := w.endCounts()
	t.Logf("%d targets ended, %d late", all, late)
	w.c.Assert(late <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d late of %d", late, all))
	w.c.Assert(entries[0].callFrom(callers[0], "sound", popularPath, name, "plain").status, qt.Equals, http.StatusOK)
}

// Targets restart at once at their address under their ID when a request crashes them. Guards
// against a check that takes the new process for the old one.
func TestCrashingRequestRestartsTargets(t *testing.T) {
	t.Parallel()
	w := newCrashWorld(t, worldConfig{targets: 0}, crashOnPath)
	for range 8 {
		w.startRestarting()
	}
	w.checkLateCrashes(startEntries(w.world, 3))
}

// A request that targets have answered begins to crash them. Guards against trials without end of a
// request that was sound.
func TestSoundRequestTurnsDeadly(t *testing.T) {
	for _, tt := range endings {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			checkSoundThenDeadly(t, func(w *crashWorld) {
				w.ending, w.recordTime = tt.ending, 4500*time.Millisecond
				for range 12 {
					w.startMortal()
				}
			})
		})
	}
	t.Run("restarting", func(t *testing.T) {
		t.Parallel()
		checkSoundThenDeadly(t, func(w *crashWorld) {
			for range 8 {
				w.startRestarting()
			}
		})
	})
}

func checkSoundThenDeadly(t *testing.T, startTargets func(*crashWorld)) {
	var deadly atomic.Bool
	w := newCrashWorld(t, worldConfig{}, func(r *http.Request) worker.Fault {
		return worker.Fault{Crash: deadly.Load() && r.URL.Path == crashPath}
	})
	startTargets(w)
	entries := startEntries(w.world, 3)
	for i := range 30 {
		w.c.Assert(entries[i%len(entries)].call("GET", crashPath, "").status, qt.Equals, http.StatusOK)
	}
	deadly.Store(true)
	w.checkLateCrashes(entries)
}

// A request breaks the connection of each target that runs it, and the targets live on. Guards against
// a request that empties a service of free slots, or crashes a part of its targets unseen.
func TestRequestThatBreaksConnections(t *testing.T) {
	for _, callerCount := range []int{1, 40} {
		t.Run(fmt.Sprint(callerCount, " callers"), func(t *testing.T) {
			t.Parallel()
			w := newCrashWorld(t, worldConfig{targets: 8}, func(r *http.Request) worker.Fault {
				return worker.Fault{LoseResponse: r.URL.Path == crashPath}
			})
			entries := startEntries(w.world, 3)
			callers := callersFrom(callerCount)
			for i := range 70 {
				go entries[i%len(entries)].callFrom(callers[i%len(callers)], fmt.Sprint("c-", i), crashPath, "", "")
				time.Sleep(80 * time.Millisecond)
			}
			var runs []time.Time
			for _, k := range w.workers {
				for _, r := range k.Runs() {
					if r.Path == crashPath {
						runs = append(runs, r.StartedAt)
					}
				}
			}
			slices.SortFunc(runs, time.Time.Compare)
			late := 0
			for _, at := range runs {
				if at.Sub(runs[crashLimit-1]) > lateCrashTime {
					late++
				}
			}
			t.Logf("%d runs, %d late", len(runs), late)
			w.c.Assert(late <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d late of %d", late, len(runs)))
		})
	}
}

// A request breaks its connection in the middle of a response that is longer than what is read before
// it's forwarded. Guards against a crash that comes after the beginning of the response.
func TestCrashInForwardedResponse(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldConfig{targets: 8})
	for _, k := range w.workers {
		k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{Cut: true, Length: 2 * maxBufferedResponse} })
	}
	e := w.startEntry("a").waitReady()
	for range 20 {
		e.call("GET", crashPath, "")
	}
	runs := w.arrivals()
	w.c.Assert(runs <= 2*crashLimit, qt.IsTrue, qt.Commentf("%d runs", runs))
	w.c.Assert(e.call("GET", crashPath, "").status, qt.Equals, http.StatusServiceUnavailable)
}

// Many copies of a request that gets no response wait in the queue when it becomes held. Guards
// against copies that are sent nonetheless.
func TestQueuedCopiesOfHeldRequest(t *testing.T) {
	const copies = 300
	t.Parallel()
	w := newWorld(t, worldConfig{targets: 4, attempts: 1})
	for _, k := range w.workers {
		k.SetServiceTime(30 * time.Millisecond)
		k.SetFaults(func(*http.Request) worker.Fault { return worker.Fault{LoseResponse: true} })
	}
	e := w.startEntry("a").waitReady()
	callers := callersFrom(40)
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() { e.callFrom(callers[i%len(callers)], fmt.Sprint("c-", i), crashPath, "", "") })
	}
	wg.Wait()
	slots := 2 * len(w.workers)
	runs := w.arrivals()
	t.Logf("%d of %d ran", runs, copies)
	w.c.Assert(runs <= (crashLimit+2)*slots, qt.IsTrue, qt.Commentf("%d runs", runs))
}

// Targets lose all connections again and again, and answer for a moment in between. Guards against a
// popular request that is quarantined because they answered a check before its trials.
func TestPopularRequestOutlivesFlapping(t *testing.T) {
	const lossCount, lossTime, answerTime = 8, 600 * time.Millisecond, 30 * time.Millisecond
	for _, m := range endings {
		if m.ending == worker.Refusing || m.ending == worker.Lingering {
			continue
		}
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			checkPopularOutlives(t, 40, lossCount*(lossTime+answerTime), func(workers []*worker.Worker) (end func()) {
				var flapping sync.WaitGroup
				flapping.Go(func() {
					for range lossCount {
						resume := loseConnections(workers, m.ending)
						time.Sleep(lossTime)
						resume()
						time.Sleep(answerTime)
					}
				})
				return flapping.Wait
			})
		})
	}
}

// Targets lose all connections for a while, health checks too, and none of them ends. Guards
// against a quarantine of a request that many callers send.
func TestPopularRequestOutlivesSilentTargets(t *testing.T) {
	tests := []struct {
		name  string
		lost  int // targets that lose connections
		fault time.Duration
	}{
		{"all, shortly", 8, faultTime},
		{"all", 8, longFaultTime},
		{"half", 4, longFaultTime},
		{"all but one", 7, longFaultTime},
	}
	for _, tt := range tests {
		for _, m := range endings {
			if m.ending == worker.Refusing || m.ending == worker.Lingering {
				continue
			}
			t.Run(tt.name+"/"+m.name, func(t *testing.T) {
				t.Parallel()
				checkPopularOutlives(t, 40, tt.fault, func(workers []*worker.Worker) (end func()) {
					return loseConnections(workers[:tt.lost], m.ending)
				})
			})
		}
	}
}
