package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/owner"
)

// startEntries starts n entries, and waits until each has the configuration and targets and knows
// the others.
func startEntries(w *world, n int) (entries []*entry) {
	for i := range n {
		entries = append(entries, w.startEntry(fmt.Sprint("e", i)))
	}
	for _, e := range entries {
		e.waitReady()
		w.waitFor("all live", func() bool { return len(e.view.Load().live) == n })
	}
	return entries
}

// startIsolatedEntries starts entries that reach the store but not each other, and waits until
// they notice it.
func startIsolatedEntries(w *world, n int) (entries []*entry) {
	w.store.SeparateEntries(func(number int) int { return number })
	for i := range n {
		entries = append(entries, w.startEntry(fmt.Sprint("e", i+1)).waitReady())
	}
	for _, e := range entries {
		w.waitFor("others known and unreachable", func() bool { return e.view.Load().isolated })
	}
	return entries
}

// byReaderRank returns the entries in the order of readers.
func byReaderRank(entries []*entry, r resource) (readers []*entry) {
	var live []owner.Candidate
	for _, e := range entries {
		live = append(live, owner.Candidate{Entry: e.self})
	}
	readers = make([]*entry, len(entries))
	for _, e := range entries {
		readers[owner.Rank(live, resourceLabels[r], e.self.Name)] = e
	}
	return readers
}

// Two of three entries are asked to stop at the same time while callers still send requests to them.
// Until an entry's port is closed, a target must answer each request. After that, callers are refused
// a connection and use another address. No request may be cut off.
func TestSeveralStopAtOnce(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 3, routeType: "non_idempotent"})
	entries := startEntries(w, 3)
	for _, k := range w.workers {
		k.Slots = 8
		w.writeTarget(k, "gowns", "ready")
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var bad []string
	sent := 0
	stop := make(chan struct{})
	for i, e := range entries {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				var conn httptrace.GotConnInfo
				ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { conn = c }})
				a := e.callWith(ctx, fmt.Sprint(i, "-", n), "POST", "/a/x", "veil")
				var op *net.OpError
				if a.err != nil && errors.As(a.err, &op) && op.Op == "dial" {
					return
				}
				mu.Lock()
				sent++
				if a.err != nil || a.status != http.StatusOK {
					bad = append(bad, fmt.Sprint(a.id, " ", a.status, " ", a.err, ", connection reused ", conn.Reused, ", idle for ", conn.IdleTime, ", runs ", w.runs(a.id)))
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	entries[0].stop()
	entries[1].stop()
	for _, e := range entries[:2] {
		w.c.Assert(<-e.done, qt.IsNil)
	}
	close(stop)
	all.Wait()
	w.c.Assert(bad, qt.HasLen, 0)
	w.c.Assert(sent > 100, qt.IsTrue, qt.Commentf("%d", sent))
}

// Callers connect without a pause while an entry's port closes. A caller that gets a connection and
// sends a request at once must get a response; later callers are refused the connection.
func TestNewConnectionsDuringStop(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	for _, k := range w.workers {
		k.Slots = 50
		w.writeTarget(k, "gowns", "ready")
	}
	e := w.startEntry("a").waitReady()
	var all sync.WaitGroup
	var unanswered atomic.Int64
	for range 30 {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", e.self.CallerAddress)
				if err != nil {
					return
				}
				_, err = io.WriteString(c, "GET /a/x HTTP/1.1\r\nHost: veil.example\r\nPlumpitch-Request-Id: x\r\nConnection: close\r\n\r\n")
				b, read := io.ReadAll(c)
				c.Close()
				// A connection that the listener had not accepted ends with a reset.
				if err == nil && read == nil && len(b) == 0 {
					unanswered.Add(1)
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	e.stop()
	w.c.Assert(<-e.done, qt.IsNil)
	all.Wait()
	w.c.Assert(unanswered.Load(), qt.Equals, int64(0))
}

// The first two entries in the order of readers are lost without notice, and a target begins to leave
// right then. The others must stop sending to it within 2 s of the store's acknowledgement.
func TestFirstReadersLost(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	entries := startEntries(w, 5)
	readers := byReaderRank(entries, resourceTargets)
	lost := make(map[string]bool)
	for _, e := range readers[:2] {
		lost[e.self.Name] = true
		e.relay.Close()
	}
	rest := readers[2:]
	w.store.SetFaults(func(r *http.Request) objects.Fault { return objects.Fault{Down: lost[r.Header.Get("User-Agent")]} })
	w.writeTarget(w.workers[0], "gowns", "draining")
	left := time.Now()
	for time.Since(left) < 2500*time.Millisecond {
		for _, e := range rest {
			e.call("GET", "/a/x", "")
		}
	}
	for _, r := range w.workers[0].Runs() {
		w.c.Assert(r.StartedAt.Sub(left) < 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.StartedAt.Sub(left)))
	}
	w.c.Assert(len(w.workers[1].Runs()) > 0, qt.IsTrue)
}

// A request crashes one target at each of three entries, which its caller tries in turn. Each entry
// has seen only one crash, but the crashes together reach the limit, and a fourth entry must refuse
// the request.
func TestCrashesAtSeveralEntries(t *testing.T) {
	w := newCrashWorld(t, worldConfig{targets: 8, attempts: 1}, crashOnPath)
	entries := startEntries(w.world, 4)
	for _, e := range entries[:crashLimit] {
		e.call("GET", crashPath, "same")
		time.Sleep(2 * roundPeriod)
	}
	last := entries[crashLimit]
	w.waitFor("the fourth entry refuses it", func() bool {
		return last.call("GET", crashPath, "same").status == http.StatusServiceUnavailable
	})
	w.c.Assert(w.crashes() <= crashLimit+1, qt.IsTrue, qt.Commentf("%d targets ended", w.crashes()))
}

// The status for operators shows the state that the gateway works with.
func TestStatus(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	entries := startEntries(w, 2)
	a := entries[0]
	a.call("GET", "/a/x", "")
	w.writeTarget(w.workers[1], "gowns", "draining")
	var s Status
	w.waitFor("the leaving target in the status", func() bool {
		var err error
		s, err = a.Status(t.Context())
		w.c.Assert(err, qt.IsNil)
		return s.Services[0].Targets[1].State == "leaving"
	})
	w.c.Assert(s.Entry, qt.Equals, "e0")
	w.c.Assert(s.ConfigVersion, qt.Equals, uint64(1))
	w.c.Assert(s.ConfigAge < 5 && s.TargetsAge < 5, qt.IsTrue)
	w.c.Assert(s.Entries, qt.HasLen, 1)
	w.c.Assert(s.Entries[0].Live, qt.IsTrue)
	w.c.Assert(s.Services[0].Name, qt.Equals, "gowns")
	w.c.Assert(s.Hosts, qt.HasLen, 1)
	w.c.Assert(s.Hosts[0].Name, qt.Equals, "veil.example")
	w.c.Assert(s.Hosts[0].Owners, qt.HasLen, 2)
	w.c.Assert(s.Services[0].Targets[0].State, qt.Equals, "open")
}

// The store refuses the calls of the first reader for a while, and the next entry takes over. The
// first reader must detect that it is served again. Otherwise one entry after the other would drop
// out of the order of readers.
func TestFirstReaderDetectsStoreReturn(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	entries := startEntries(w, 3)
	first := byReaderRank(entries, resourceTargets)[0]
	refused := func() bool {
		s, err := first.Status(t.Context())
		w.c.Assert(err, qt.IsNil)
		return s.StoreUnavailable
	}
	w.store.SetFaults(refuseStoreCalls(first))
	w.waitFor("the reader is refused", refused)
	time.Sleep(time.Second)
	w.store.SetFaults(nil)
	began := time.Now()
	w.waitFor("the reader is served again", func() bool { return !refused() })
	w.c.Assert(time.Since(began) < 2*storeRetryDelayMax, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
