package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// partitionWorld is a world whose entries can be cut off from all targets.
type partitionWorld struct {
	*world
	entries []*entry
	calls   atomic.Int64
}

func newPartitionWorld(t *testing.T, cfg worldConfig, entryCount int) *partitionWorld {
	w := &partitionWorld{world: newWorld(t, cfg)}
	w.links = make(map[string]*targetLinks)
	for i := range entryCount {
		w.links[fmt.Sprint("e", i)] = &targetLinks{conns: make(map[*net.TCPConn]bool)}
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

// firstTries sends n requests, one after the other, to each entry, and returns the share of them
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
		mode   linkMode
		method string
		kind   string
	}{
		{"connections hang", linksHang, "GET", ""},
		{"connections are reset", linksReset, "GET", ""},
		{"new connections are refused", linksRefuse, "GET", ""},
		{"connections hang, requests may run once", linksHang, "POST", "non_idempotent"},
		{"connections are reset, requests may run once", linksReset, "POST", "non_idempotent"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newPartitionWorld(t, worldConfig{targets: 8, routeType: tt.kind}, 6)
			cut, others := w.split()
			w.firstTries(tt.method, w.entries, 10)
			for _, e := range cut {
				w.links[e.self.Name].set(tt.mode)
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
	}
	for _, k := range w.workers {
		w.c.Assert(k.Restart(), qt.IsNil)
	}
	time.Sleep(cutSettleTime)
	w.c.Assert(w.firstTries("GET", w.entries, 40), qt.Equals, 1.0)
}
