package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/worker"
)

const (
	// maxLateCrashes bounds the targets that a request reaches later than lateCrashTime after
	// the third one has ended under it.
	maxLateCrashes = 3
	lateCrashTime  = 3 * time.Second
)

// callersFrom returns an HTTP client for each of n loopback addresses.
func callersFrom(n int) (clients []*http.Client) {
	for i := range n {
		local := &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+i/200), byte(1+i%200))}
		clients = append(clients, &http.Client{Transport: &http.Transport{
			DialContext: (&net.Dialer{LocalAddr: local}).DialContext, DisableKeepAlives: true,
		}})
	}
	return clients
}

// callFrom sends one request from a client, with an additional header if name isn't empty.
func (e *entry) callFrom(client *http.Client, id, path, name, value string) callResult {
	r := e.newRequest(context.Background(), id, http.MethodGet, path, "")
	if name != "" {
		r.Header.Set(name, value)
	}
	return send(client, id, r)
}

// A request that ends each target comes from many callers. Guards against a quarantine for
// each caller, which lets each of them end crashLimit targets more.
func TestCrashingRequestOfManyCallers(t *testing.T) {
	tests := []struct {
		name    string
		callers int
	}{
		{"one", 1},
		{"five", 5},
		{"forty", 40},
		{"two hundred", 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newCrashWorld(t, worldConfig{targets: 8}, crashOnPath)
			entries := startEntries(w.world, 3)
			callers := callersFrom(tt.callers)
			for i := range 70 {
				go entries[i%len(entries)].callFrom(callers[i%len(callers)], fmt.Sprint("c-", i), crashPath, "", "")
				time.Sleep(80 * time.Millisecond)
			}
			all, late := w.endCounts()
			t.Logf("%d targets ended, %d late", all, late)
			w.c.Assert(late <= maxLateCrashes, qt.IsTrue, qt.Commentf("%d late of %d", late, all))
			w.c.Assert(all <= len(entries)*crashLimit, qt.IsTrue, qt.Commentf("%d ended", all))
			w.waitFor("another request is served", func() bool { return entries[0].call("GET", "/a/other", "").status == http.StatusOK })
		})
	}
}

// A request with one header crashes its targets, and every second one has another value and is
// sound. Guards against sound requests that clear a crashing one of the same path.
func TestCrashingHeader(t *testing.T) {
	const name, crashing = "X-Layout", "broken"
	w := newCrashWorld(t, worldConfig{targets: 8}, func(r *http.Request) worker.Fault {
		return worker.Fault{Crash: r.Header.Get(name) == crashing}
	})
	entries := startEntries(w.world, 3)
	callers := callersFrom(40)
	for i := range 60 {
		value := crashing
		if i%2 == 0 {
			value = "plain"
		}
		entries[i%len(entries)].callFrom(callers[i%len(callers)], fmt.Sprint("h-", i), popularPath, name, value)
		time.Sleep(50 * time.Millisecond)
	}
	w.c.Assert(w.crashes() <= crashLimit+maxLateCrashes, qt.IsTrue, qt.Commentf("%d ended", w.crashes()))
	w.c.Assert(entries[0].callFrom(callers[0], "sound", popularPath, name, "plain").status, qt.Equals, http.StatusOK)
}

const popularPath = "/a/popular"

// servedShare sends n requests for the popular path, from one caller after the other, and
// returns the share of them that is served.
func servedShare(entries []*entry, callers []*http.Client, n int) float64 {
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			if entries[i%len(entries)].callFrom(callers[i%len(callers)], fmt.Sprint("s-", i), popularPath, "", "").status == http.StatusOK {
				served.Add(1)
			}
		})
		time.Sleep(popularInterval)
	}
	wg.Wait()
	return float64(served.Load()) / float64(n)
}

const (
	// popularInterval is the time between requests for the popular path.
	popularInterval = 15 * time.Millisecond
	// minServedShare is the share of the requests for the popular path that is served once the
	// targets work again.
	minServedShare = 0.95
	// faultTime is how long targets lose connections, and settleTime how long after it the
	// popular path is served again.
	faultTime     = 700 * time.Millisecond
	longFaultTime = 4 * time.Second
	settleTime    = 2 * time.Second
)

// checkPopularOutlives sends the popular path, from so many callers, while targets fail for d, and checks
// that it is served settleTime later. fail begins the failure and returns a function that ends it.
func checkPopularOutlives(t *testing.T, callerCount int, d time.Duration, fail func([]*worker.Worker) (end func())) {
	w := newWorld(t, worldConfig{targets: 8})
	for _, k := range w.workers {
		k.SetServiceTime(20 * time.Millisecond)
	}
	entries := startEntries(w, 3)
	callers := callersFrom(callerCount)
	servedShare(entries, callers, 40)
	end := fail(w.workers)
	servedShare(entries, callers, int(d/popularInterval))
	end()
	time.Sleep(settleTime)
	share := servedShare(entries, callers, 120)
	w.c.Assert(share >= minServedShare, qt.IsTrue, qt.Commentf("%.2f served", share))
}

// Few targets break the connections of requests for some time, and then answer health checks late. Guards
// against trials that pass over all targets and are never sent.
func TestPopularRequestOutlivesSlowHealthChecks(t *testing.T) {
	for _, targets := range []int{1, 2, 3, 8} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: targets})
			for _, k := range w.workers {
				k.SetServiceTime(5 * time.Millisecond)
			}
			entries := startEntries(w, 3)
			callers := callersFrom(40)
			servedShare(entries, callers, 40)
			end := breakRequests(w.workers)
			servedShare(entries, callers, int(faultTime/popularInterval))
			for _, k := range w.workers {
				k.SetHealthDelay(2 * endCheckTimeout)
			}
			end()
			time.Sleep(settleTime)
			share := servedShare(entries, callers, 120)
			w.c.Assert(share >= minServedShare, qt.IsTrue, qt.Commentf("%.2f served", share))
		})
	}
}

// breakRequests makes targets break the connections of requests, and answer health checks.
func breakRequests(workers []*worker.Worker) (end func()) {
	setFaults := func(f func(*http.Request) worker.Fault) {
		for _, k := range workers {
			k.SetFaults(f)
		}
	}
	setFaults(func(*http.Request) worker.Fault { return worker.Fault{LoseResponse: true} })
	return func() { setFaults(nil) }
}

// loseConnections makes targets lose all connections.
func loseConnections(workers []*worker.Worker, how worker.Ending) (end func()) {
	for _, k := range workers {
		k.End(how)
	}
	return func() {
		for _, k := range workers {
			k.Resume()
		}
	}
}

// All targets close the connections of requests for some time and none of them ends. Guards against
// a quarantine of a request that many callers send, which would refuse it to all of them.
func TestPopularRequestOutlivesLostConnections(t *testing.T) {
	tests := []struct {
		callers int
		fault   time.Duration
	}{
		{1, faultTime},
		{40, faultTime},
		{200, faultTime},
		{40, longFaultTime},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.callers, " callers, ", tt.fault), func(t *testing.T) {
			t.Parallel()
			checkPopularOutlives(t, tt.callers, tt.fault, breakRequests)
		})
	}
}

// Targets end, all at once or in turn, while a popular request runs on them, and come back under
// new IDs. Guards against a quarantine of a request that only ran beside the cause.
func TestPopularRequestOutlivesEndedTargets(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration // between the ends of two targets
		ends     int
	}{
		{"half of them at once", 0, 4},
		{"all at once", 0, 8},
		{"in turn", 150 * time.Millisecond, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newCrashWorld(t, worldConfig{targets: 8}, noFault)
			entries := startEntries(w.world, 3)
			callers := callersFrom(40)
			servedShare(entries, callers, 40)
			stop := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						servedShare(entries, callers, 20)
					}
				}
			})
			for i := range tt.ends {
				w.end(w.target(i))
				time.Sleep(tt.interval)
			}
			close(stop)
			wg.Wait()
			time.Sleep(settleTime)
			share := servedShare(entries, callers, 120)
			w.c.Assert(share >= minServedShare, qt.IsTrue, qt.Commentf("%.2f served", share))
		})
	}
}
