package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// What an entry knows gets old while nobody tells it of anything newer. A request that
// comes then waits for the store, but not in vain: not while the store doesn't answer,
// and not before anything is known.
func TestWhoWaitsForNewerKnowledge(t *testing.T) {
	const stale = 1500 * time.Millisecond
	at := time.Unix(100, 0)
	tests := []struct {
		name      string
		confirmed time.Time
		away      bool
		want      []duty
	}{
		{"young", at.Add(-stale + time.Millisecond), false, nil},
		{"old", at.Add(-stale), false, []duty{dutyTargets}},
		{"old, the store doesn't answer", at.Add(-stale), true, nil},
		{"nothing known yet", time.Time{}, false, nil},
	}
	late := newFreshness()
	late.set([duties]time.Time{at, at}, false)
	_, _ = late.use(at.Add(stale), ages{stale, stale})
	wait, _ := late.use(at.Add(stale+refreshWait), ages{stale, stale})
	qt.Check(t, wait, qt.HasLen, 0, qt.Commentf("another one has waited in vain"))
	for _, tt := range tests {
		f := newFreshness()
		f.set([duties]time.Time{dutyConfig: at, dutyTargets: tt.confirmed}, tt.away)
		wait, _ := f.use(at, ages{stale, stale})
		qt.Check(t, wait, qt.DeepEquals, tt.want, qt.Commentf("%s", tt.name))
	}
}

// Many others read before an entry, and it hears nothing of what they read. With
// callers it reads for itself in time to stop sending to a leaving target within the
// bound; without any it leaves the store to the others.
func TestTurnOfAServingEntry(t *testing.T) {
	tests := []struct {
		name  string
		used  time.Duration // before now, that the last request came; 0 for none
		drain time.Duration
		age   time.Duration
		due   bool
	}{
		{"no callers", 0, 2 * time.Second, 1900 * time.Millisecond, false},
		{"callers, young", 100 * time.Millisecond, 2 * time.Second, 1400 * time.Millisecond, false},
		{"callers, old", 100 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond, true},
		{"callers, a longer bound", 100 * time.Millisecond, 3 * time.Second, 2400 * time.Millisecond, false},
		{"callers, old by a longer bound", 100 * time.Millisecond, 3 * time.Second, 2500 * time.Millisecond, true},
		{"callers long ago", 2 * servingTime, 2 * time.Second, 1900 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := parked(t)
			b := *c.gateway.bounds.Load()
			b.Drain = tt.drain
			c.gateway.bounds.Store(&b)
			var names []string
			for i := range 40 {
				names = append(names, fmt.Sprint("e", i))
			}
			c.others(c.started, names...)
			targetsListed{at: 1, asked: c.started}.apply(c.started, c)
			now := c.started.Add(tt.age)
			c.members.Handle(now, heardFrom("e0"))
			if tt.used > 0 {
				c.gateway.freshness.use(now.Add(-tt.used), c.gateway.stale())
			}
			q := turnAsked{duty: dutyTargets, answer: make(chan turn, 1)}
			q.apply(now, c)
			turn := <-q.answer
			qt.Assert(t, turn.rank > fastReaders, qt.IsTrue, qt.Commentf("rank %d", turn.rank))
			qt.Assert(t, turn.due, qt.Equals, tt.due)
		})
	}
}

// The store falls silent. What an entry knows gets old before a call to the store has
// failed, so that requests begin to wait for newer knowledge. Few of them may: the store
// would have answered the first within milliseconds, and each that waits is late by that.
func TestSilentStoreHoldsUpFewRequests(t *testing.T) {
	w := newWorld(t, site{targets: 2})
	e := w.entry("a").settled()
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	w.store.Fail(func(*http.Request) objects.Fault { return objects.Fault{Silent: true} })
	var held time.Duration
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(5 * time.Millisecond) {
		a := e.call("GET", "/a/x", "")
		w.c.Assert(a.status, qt.Equals, http.StatusOK)
		if a.took > refreshWait/2 {
			held += a.took
		}
	}
	// Once for each kind of knowledge.
	w.c.Assert(held < 5*refreshWait/2, qt.IsTrue, qt.Commentf("held up for %v", held))
}
