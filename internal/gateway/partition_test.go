package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/internal/standin/link"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/route"
)

// partitionWorld is a world whose entries can be cut off from all targets.
type partitionWorld struct {
	*world
	entries []*entry
	calls   atomic.Int64
}

func newPartitionWorld(t *testing.T, cfg worldConfig, entryCount int) *partitionWorld {
	w := &partitionWorld{world: newWorld(t, cfg)}
	w.links = make(map[string]*link.Links)
	for i := range entryCount {
		w.links[fmt.Sprint("e", i)] = link.New()
	}
	w.entries = startEntries(w.world, entryCount)
	for _, k := range w.workers {
		k.SetServiceTime(5 * time.Millisecond)
	}
	return w
}

// owners returns the names of the entries that own the host.
func (w *partitionWorld) owners(e *entry) (names []string) {
	for _, o := range e.view.Load().owners["veil.example"] {
		names = append(names, o.Name)
	}
	return names
}

// split returns the owners of the host and one more entry, which are to be cut off, and the others.
func (w *partitionWorld) split() (cut, others []*entry) {
	owners := w.owners(w.entries[0])
	for _, e := range w.entries {
		if slices.Contains(owners, e.self.Name) || len(cut) < len(owners)+1 && len(others) > 1 {
			cut = append(cut, e)
		} else {
			others = append(others, e)
		}
	}
	return cut, others
}

// firstTries sends n requests to each entry, one after the other, and returns the share of them
// that is served at the first try.
func (w *partitionWorld) firstTries(method string, entries []*entry, n int) float64 {
	var served atomic.Int64
	var wg sync.WaitGroup
	for _, e := range entries {
		wg.Go(func() {
			for range n {
				id := fmt.Sprint("p-", w.calls.Add(1))
				if e.callWith(context.Background(), id, method, "/a/x", "").status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(served.Load()) / float64(n*len(entries))
}

const (
	// cutSettleTime is how long after a cut callers are served again.
	cutSettleTime = 3 * time.Second
	// minCutShare bounds the first tries that are served at entries that are cut off, as a share
	// of those at the others.
	minCutShare = 2.0 / 3
)

// Entries, among them all owners of a host, lose the way to all targets, while callers and the
// other entries reach them. Guards against callers of these entries being refused all the while.
func TestEntriesCutOffFromTargetsServe(t *testing.T) {
	tests := []struct {
		name   string
		mode   link.Mode
		method string
		kind   string
	}{
		{"connections hang", link.Hang, "GET", ""},
		{"connections are reset", link.Reset, "GET", ""},
		{"new connections are refused", link.Refuse, "GET", ""},
		{"connections hang, requests may run once", link.Hang, "POST", "non_idempotent"},
		{"connections are reset, requests may run once", link.Reset, "POST", "non_idempotent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newPartitionWorld(t, worldConfig{targets: 8, routeType: tt.kind}, 6)
			cut, others := w.split()
			w.firstTries(tt.method, w.entries, 10)
			for _, e := range cut {
				w.links[e.self.Name].Set(tt.mode)
			}
			for began := time.Now(); time.Since(began) < cutSettleTime; {
				w.firstTries(tt.method, cut, 1)
				time.Sleep(20 * time.Millisecond)
			}
			atCut, atOthers := w.firstTries(tt.method, cut, 40), w.firstTries(tt.method, others, 40)
			t.Logf("%.2f served at entries that are cut off, %.2f at the others", atCut, atOthers)
			w.c.Check(atOthers, qt.Equals, 1.0)
			w.c.Assert(atCut >= minCutShare*atOthers, qt.IsTrue, qt.Commentf("%.2f, others %.2f", atCut, atOthers))
			for i := range w.calls.Load() {
				if id := fmt.Sprint("p-", i+1); tt.kind != "" && w.runs(id) > 1 {
					w.c.Fatalf("request %s ran %d times", id, w.runs(id))
				}
			}
		})
	}
}

// Entries reach one of eight targets, which can't take their load. Guards against entries that
// refuse most requests because they reach any target at all.
func TestEntriesThatReachOneTargetServe(t *testing.T) {
	const callers = 6 // at each entry
	for _, mode := range []link.Mode{link.Reset, link.Hang} {
		t.Run(fmt.Sprint("mode ", mode), func(t *testing.T) {
			t.Parallel()
			w := newPartitionWorld(t, worldConfig{targets: 8, timeout: "600ms"}, 6)
			for _, k := range w.workers {
				k.SetServiceTime(30 * time.Millisecond)
				k.LimitQueue(2)
			}
			cut, _ := w.split()
			busy := slices.Repeat(cut, callers)
			w.firstTries("GET", busy, 5)
			for _, e := range cut {
				w.links[e.self.Name].Spare(w.workers[0].Address())
				w.links[e.self.Name].Set(mode)
			}
			for began := time.Now(); time.Since(began) < cutSettleTime; {
				w.firstTries("GET", busy, 1)
			}
			share := w.firstTries("GET", busy, 20)
			t.Logf("%.2f served", share)
			w.c.Assert(share >= minCutShare, qt.IsTrue, qt.Commentf("%.2f", share))
		})
	}
}

// All targets of a service end. Guards against entries that take each other for cut off: all of
// them must stay in the directory, refuse at once, and serve again when targets are back.
func TestGoneTargetsDrainNobody(t *testing.T) {
	w := newPartitionWorld(t, worldConfig{targets: 4}, 4)
	w.firstTries("GET", w.entries, 10)
	before := w.owners(w.entries[0])
	for _, k := range w.workers {
		k.Close()
	}
	for began := time.Now(); time.Since(began) < cutSettleTime; {
		for _, e := range w.entries {
			res := e.call("GET", "/a/x", "")
			w.c.Assert(res.status >= http.StatusInternalServerError, qt.IsTrue)
			w.c.Assert(res.took < time.Second, qt.IsTrue, qt.Commentf("%d after %v", res.status, res.took))
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, e := range w.entries {
		w.c.Assert(w.owners(e), qt.DeepEquals, before)
		w.c.Assert(e.view.Load().callerAddresses("veil.example", "", e.self), qt.HasLen, len(before))
		for _, path := range []string{"/readiness", "/resolve?name=veil.example&region=metro"} {
			rec := httptest.NewRecorder()
			e.auxHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
			w.c.Assert(rec.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", path))
		}
	}
	for _, k := range w.workers {
		w.c.Assert(k.Restart(), qt.IsNil)
	}
	time.Sleep(cutSettleTime)
	w.c.Assert(w.firstTries("GET", w.entries, 40), qt.Equals, 1.0)
}

// Callers must be sent elsewhere while their entry is cut off, and come back after it. Guards
// against owners that stay unreachable, or that change with each turn of a link.
func TestOwnersReachTheirTargets(t *testing.T) {
	w := newPartitionWorld(t, worldConfig{targets: 8}, 6)
	w.firstTries("GET", w.entries, 10)
	before := w.owners(w.entries[0])
	cut, others := w.split()
	for _, e := range cut {
		w.links[e.self.Name].Set(link.Reset)
	}
	w.firstTries("GET", cut, 5)
	for _, e := range w.entries {
		w.waitFor("no owner is cut off", func() bool {
			return !slices.ContainsFunc(w.owners(e), func(name string) bool { return slices.Contains(before, name) })
		})
	}
	for _, e := range cut {
		w.links[e.self.Name].Set(link.Up)
	}
	for _, e := range w.entries {
		w.waitFor("owners are as before", func() bool { return slices.Equal(w.owners(e), before) })
	}
	w.c.Assert(w.firstTries("GET", cut, 20), qt.Equals, 1.0)
	w.c.Assert(w.firstTries("GET", others, 20), qt.Equals, 1.0)
}

// An entry that serves requests for one that is cut off stops. Guards against requests that are
// lost with it, or run twice.
func TestDelegateStops(t *testing.T) {
	w := newPartitionWorld(t, worldConfig{targets: 8, routeType: "non_idempotent", timeout: "4s", attempts: 1, grace: 6 * time.Second}, 6)
	w.firstTries("POST", w.entries, 5)
	cut, others := w.split()
	for _, e := range cut {
		w.links[e.self.Name].Set(link.Reset)
	}
	w.firstTries("POST", cut, 5)
	w.waitFor("delegates are known", func() bool { return len(cut[0].view.Load().delegates["gowns"]) > 1 })
	for _, k := range w.workers {
		k.SetServiceTime(1900 * time.Millisecond) // the delegate's listener closes before they end
	}
	results := make(chan callResult, 100)
	for i := range cap(results) {
		go func() {
			results <- cut[0].callWith(context.Background(), fmt.Sprint("stop-", i), "POST", "/a/x", "veil")
		}()
		time.Sleep(15 * time.Millisecond)
		if i == cap(results)/4 {
			others[0].stop()
		}
	}
	for range cap(results) {
		res := <-results
		w.c.Assert(res.status == http.StatusOK || res.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%d %s", res.status, res.header.Get("Plumpitch-Reason")))
		w.c.Assert(w.runs(res.id) <= 1, qt.IsTrue)
		w.c.Assert(res.status == http.StatusOK, qt.Equals, w.runs(res.id) == 1)
	}
	w.c.Assert(<-others[0].done, qt.IsNil)
}

// Callers with keys use an entry that is cut off. Guards against requests that are passed on
// without their account or with the caller's key, and against tokens that are spent twice.
func TestPassedOnRequestsHaveAnAccount(t *testing.T) {
	const (
		rate = 40 // requests per second that an account may send, and its burst
		span = 4 * time.Second
	)
	w := newPartitionWorld(t, worldConfig{targets: 8}, 6)
	w.configureAccounts(
		objects.Account{Name: "bride", Keys: []string{"k1"}, Rate: 1000, Burst: 1000},
		objects.Account{Name: "seamstress", Keys: []string{"k2"}, Rate: rate, Burst: rate},
	)
	for _, e := range w.entries {
		e.waitReady()
	}
	cut, _ := w.split()
	for _, e := range cut {
		w.links[e.self.Name].Set(link.Reset)
	}
	w.waitFor("served by a delegate", func() bool { return cut[0].callWithKey("/a/x", "k1").status == http.StatusOK })
	w.c.Assert(cut[0].callWithKey("/a/x", "").status, qt.Equals, http.StatusUnauthorized)
	w.c.Assert(cut[0].callWithKey("/a/x", "unknown").status, qt.Equals, http.StatusUnauthorized)
	res := cut[0].callWithKey("/a/x", "k1", relay.HeaderPassedOn, "e1")
	w.c.Assert(res.status, qt.Equals, http.StatusOK, qt.Commentf("%v", res.header))
	w.waitFor("the account has tokens", func() bool { return cut[0].callWithKey("/a/x", "k2").status == http.StatusOK })
	served := 1
	for began := time.Now(); time.Since(began) < span; {
		if cut[0].callWithKey("/a/x", "k2").status == http.StatusOK {
			served++
		}
		time.Sleep(5 * time.Millisecond)
	}
	full := int(rate * span.Seconds())
	w.c.Assert(served <= full+rate, qt.IsTrue, qt.Commentf("%d served", served))
	w.c.Assert(served >= 3*full/4, qt.IsTrue, qt.Commentf("%d served", served))
	accounts := map[string]int{}
	for _, r := range w.allRuns() {
		accounts[r.Account]++
		w.c.Assert(r.LeakedKey, qt.Equals, "")
	}
	w.c.Assert(accounts["seamstress"], qt.Equals, served)
	w.c.Assert(accounts["bride"] > 0, qt.IsTrue)
}

// Two services of a route with weights 1 and 3, of which an entry reaches one. Guards against a
// second choice at the delegate, which gives the service out of reach its weight of the rest.
func TestPassedOnRequestKeepsItsService(t *testing.T) {
	tests := []struct {
		name     string
		passedOn bool
		chosen   string
		others   int // of 40 requests, those for veils
	}{
		{"of an own caller", false, "", 30},
		{"of an own caller, who names a service", false, "gowns", 30},
		{"passed on", true, "gowns", 0},
		{"passed on, of a service that the route no longer has", true, "hats", 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			services := []route.WeightedService{{Service: "gowns", Weight: 1}, {Service: "veils", Weight: 3}}
			active := &route.ActiveRoute{Route: route.Route{Services: services}, Split: route.NewSplit(services)}
			others := 0
			for range 40 {
				q := &request{route: active, passedOn: tt.passedOn, chosen: tt.chosen}
				if q.chooseService() == "veils" {
					others++
				}
			}
			qt.Assert(t, others, qt.Equals, tt.others)
		})
	}
}

// Entries are cut off from all targets while a request that many callers send runs at all of them.
// Guards against broken connections of several entries that add up to a quarantine.
func TestCutCondemnsNoRequest(t *testing.T) {
	w := newPartitionWorld(t, worldConfig{targets: 8}, 6)
	for _, k := range w.workers {
		k.SetServiceTime(200 * time.Millisecond)
	}
	callers := callersFrom(40)
	for _, e := range w.entries {
		for i := range 5 {
			go e.callFrom(callers[i], fmt.Sprint("cut-", e.self.Name, i), popularPath, "", "")
		}
	}
	time.Sleep(100 * time.Millisecond)
	for _, e := range w.entries[1:] {
		w.links[e.self.Name].Set(link.Reset)
	}
	time.Sleep(2 * tickInterval)
	for _, e := range w.entries[1:] {
		w.links[e.self.Name].Set(link.Up)
	}
	for _, k := range w.workers {
		k.SetServiceTime(5 * time.Millisecond)
	}
	time.Sleep(settleTime)
	share := servedShare(w.entries, callers, 120)
	w.c.Assert(share >= minServedShare, qt.IsTrue, qt.Commentf("%.2f served", share))
}

// A service leaves the configuration while it is out of reach, and comes back after the cut.
// Guards against an entry that goes on taking it for out of reach, as nothing checks it any more.
func TestServiceComesBackInReach(t *testing.T) {
	w := newPartitionWorld(t, worldConfig{targets: 4, timeout: "4s", attempts: 1}, 3)
	e := w.entries[0]
	w.firstTries("GET", w.entries, 5)
	w.links[e.self.Name].Set(link.Hang)
	for i := range 4 { // a service with requests in flight is kept
		go e.callWith(context.Background(), fmt.Sprint("held-", i), "GET", "/a/x", "")
	}
	lost := func() bool {
		sv := e.view.Load().services["gowns"]
		return sv != nil && sv.lost.Load()
	}
	w.waitFor("out of reach", func() bool {
		e.call("GET", "/a/x", "")
		return lost()
	})
	w.version++
	w.store.PutConfig(w.version, nil, []string{"veils"})
	w.waitFor("the service is removed", func() bool { return e.view.Load().services["gowns"] == nil })
	time.Sleep(2 * tickInterval)
	w.links[e.self.Name].Set(link.Up)
	w.configure(worldConfig{})
	w.waitFor("the service is back", func() bool { return e.view.Load().services["gowns"] != nil })
	w.waitFor("in reach", func() bool { return !lost() })
}
