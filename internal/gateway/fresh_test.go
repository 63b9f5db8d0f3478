package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// An entry's store data is too old because it received nothing newer. A request then waits
// for the store, but only if waiting can help: not while the store is unavailable, not
// before there is any data, and not after another request has waited without success.
func TestWaitForFreshData(t *testing.T) {
	const stale = 1500 * time.Millisecond
	at := time.Unix(100, 0)
	tests := []struct {
		name             string
		confirmed        time.Time
		storeUnavailable bool
		want             []resource
	}{
		{"young", at.Add(-stale + time.Millisecond), false, nil},
		{"old", at.Add(-stale), false, []resource{resourceTargets}},
		{"old, the store doesn't answer", at.Add(-stale), true, nil},
		{"nothing known yet", time.Time{}, false, nil},
	}
	expired := newFreshness()
	expired.update([resourceCount]time.Time{at, at}, false)
	_, _ = expired.recordRequest(at.Add(stale), resourceAges{stale, stale})
	wait, _ := expired.recordRequest(at.Add(stale+maxRefreshWait), resourceAges{stale, stale})
	qt.Check(t, wait, qt.HasLen, 0, qt.Commentf("another request has waited without success"))
	for _, tt := range tests {
		f := newFreshness()
		f.update([resourceCount]time.Time{resourceConfig: at, resourceTargets: tt.confirmed}, tt.storeUnavailable)
		wait, _ := f.recordRequest(at, resourceAges{stale, stale})
		qt.Check(t, wait, qt.DeepEquals, tt.want, qt.Commentf("%s", tt.name))
	}
}

// Many entries rank before an entry as readers, but it receives none of their results. If
// it has callers, it must read for itself early enough to stop sending requests to a
// leaving target within the bound. Without callers it must leave the reads to the others.
func TestEntryWithCallersReadsInTime(t *testing.T) {
	tests := []struct {
		name         string
		sinceRequest time.Duration // 0 for no request
		drain        time.Duration
		age          time.Duration
		due          bool
	}{
		{"no callers", 0, 2 * time.Second, 1900 * time.Millisecond, false},
		{"callers, young", 100 * time.Millisecond, 2 * time.Second, 1400 * time.Millisecond, false},
		{"callers, old", 100 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond, true},
		{"callers, a longer bound", 100 * time.Millisecond, 3 * time.Second, 2400 * time.Millisecond, false},
		{"callers, old by a longer bound", 100 * time.Millisecond, 3 * time.Second, 2500 * time.Millisecond, true},
		{"callers long ago", 2 * recentRequestWindow, 2 * time.Second, 1900 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := parkedControl(t)
			b := *c.gateway.bounds.Load()
			b.Drain = tt.drain
			c.gateway.bounds.Store(&b)
			var names []string
			for i := range 40 {
				names = append(names, fmt.Sprint("e", i))
			}
			c.addLive(c.started, names...)
			targetsListed{revision: 1, askedAt: c.started}.apply(c.started, c)
			now := c.started.Add(tt.age)
			c.members.Handle(now, messageFrom("e0"))
			if tt.sinceRequest > 0 {
				c.gateway.freshness.recordRequest(now.Add(-tt.sinceRequest), c.gateway.maxAges())
			}
			q := turnRequest{resource: resourceTargets, reply: make(chan readTurn, 1)}
			q.apply(now, c)
			turn := <-q.reply
			qt.Assert(t, turn.rank > notifiedReaders, qt.IsTrue, qt.Commentf("rank %d", turn.rank))
			qt.Assert(t, turn.due, qt.Equals, tt.due)
		})
	}
}

// The store stops responding. The entry's data becomes too old before a call to the store
// has failed, so requests start to wait for newer data. Only few may wait, since each wait
// delays a response, and a healthy store would have responded within milliseconds.
func TestUnresponsiveStoreDelaysFewRequests(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 2})
	e := w.startEntry("a").waitReady()
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Silent: true} })
	var delayed time.Duration
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		a := e.call("GET", "/a/x", "")
		w.c.Assert(a.status, qt.Equals, http.StatusOK)
		if a.took > maxRefreshWait/2 {
			delayed += a.took
		}
	}
	// At most one wait for each of the two resources in use, and half a wait to spare.
	w.c.Assert(delayed < 5*maxRefreshWait/2, qt.IsTrue, qt.Commentf("delayed by %v", delayed))
}
