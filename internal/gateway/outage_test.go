package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// A target's record is removed while the store is up. A gateway that learns of it late, when its
// data is over 2 s old, must not assume an outage of the store: it would keep the target and send
// it requests for another 2.2 s, after the target has reported that it is gone. Of 113 gateways, 11
// assumed an outage though the store was up, and kept targets that were removed 1.9 s later. A
// target may be kept only after failed calls to the store.
func TestRemovedTargetIsKeptOnlyAfterAnOutage(t *testing.T) {
	const late = roster.OutageAge + 500*time.Millisecond
	const back = late - 100*time.Millisecond // when the connection to the others is back
	failed := readFinished{errors.New("no answer")}
	read := func(asked time.Time) message {
		return targetsChanged{changes: []roster.Change[slot.Target]{removed("gone", 20)}, revision: 20, askedAt: asked}
	}
	pulled := func(asked time.Time) message {
		return pullFinished{askedAt: asked, result: relay.PullResult{
			Targets: relay.TargetsChanged, Changes: []roster.Change[slot.Target]{removed("gone", 20)}, Revision: 20, LastChange: 20,
		}}
	}
	tests := []struct {
		name  string
		since func(c *control, from time.Time) // events before the removal is received
		event func(asked time.Time) message    // returns the message that contains the removal
		kept  bool
	}{
		{"read late, the store is up", nil, read, false},
		{"pulled late from another entry, the store is up", nil, pulled, false},
		{"own calls failed", func(c *control, from time.Time) {
			failed.apply(from.Add(time.Second), c)
		}, read, true},
		{"own calls failed, pulled from another entry", func(c *control, from time.Time) {
			failed.apply(from.Add(time.Second), c)
		}, pulled, true},
		{"others report that the store doesn't serve them", func(c *control, from time.Time) {
			unserved := peerEntry("unserved")
			unserved.StoreUnavailable = true
			c.handleEvent(from.Add(time.Second), member.Fetched{Entries: []member.Entry{unserved}})
			c.live()
		}, read, true},
		{"own calls failed, then the store answered another entry", func(c *control, from time.Time) {
			failed.apply(from.Add(100*time.Millisecond), c)
			c.receiveKnowledge(from.Add(300*time.Millisecond), "127.0.0.1:2", relay.Knowledge{Targets: 10})
		}, read, false},
		{"own calls failed, and all pass on the store's last confirmation", func(c *control, from time.Time) {
			failed.apply(from.Add(50*time.Millisecond), c)
			for at := from.Add(roundPeriod); at.Before(from.Add(late)); at = at.Add(roundPeriod / 2) {
				// The transfer to the next entry takes 10 ms, which the age doesn't include.
				age := at.Sub(c.confirmed[resourceTargets]) - 10*time.Millisecond
				c.receiveKnowledge(at, "127.0.0.1:2", relay.Knowledge{Targets: 10, TargetsAge: age})
			}
		}, read, true},
		{"own calls failed, and at first nothing has changed on the store's return", func(c *control, from time.Time) {
			failed.apply(from.Add(time.Second), c)
			c.receiveKnowledge(from.Add(late-200*time.Millisecond), "127.0.0.1:2", relay.Knowledge{Targets: 10})
		}, read, true},
		{"cut off from the store and from all others", func(c *control, from time.Time) {
			c.addLive(from, "unheard")
			failed.apply(from.Add(400*time.Millisecond), c)
			c.tick(from.Add(isolationTimeout + tickInterval))
			failed.apply(from.Add(2*time.Second), c)
		}, pulled, false},
		{"cut off until all others count as dead", func(c *control, from time.Time) {
			c.addLive(from, "unheard")
			for at := from; at.Before(from.Add(late)); at = at.Add(roundPeriod) {
				c.runTimers(at)
				c.tick(at)
			}
			failed.apply(from.Add(late-minOutage), c)
		}, pulled, false},
		{"cut off, a call from then fails when the connection is back", func(c *control, from time.Time) {
			c.addLive(from, "unheard")
			c.tick(from.Add(isolationTimeout + tickInterval))
			c.handleEvent(from.Add(back), messageFrom("unheard"))
			failed.apply(from.Add(back), c)
		}, pulled, false},
		{"cut off, others that were too report failed calls when the connection is back", func(c *control, from time.Time) {
			c.addLive(from, "unheard")
			c.tick(from.Add(isolationTimeout + tickInterval))
			c.handleEvent(from.Add(back), messageFrom("unheard"))
			unserved := peerEntry("unserved")
			unserved.StoreUnavailable = true
			c.handleEvent(from.Add(back), member.Fetched{Entries: []member.Entry{unserved}})
		}, pulled, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := parkedControl(t)
			from := c.started
			targetsListed{items: []roster.Item[slot.Target]{item("gone", 9), item("stays", 10)}, revision: 10, askedAt: from}.apply(from, c)
			if tt.since != nil {
				tt.since(c, from)
			}
			received := from.Add(late)
			tt.event(received).apply(received, c)
			_, kept := c.usableTargets(received.Add(time.Millisecond))["gone"]
			qt.Assert(t, kept, qt.Equals, tt.kept)
		})
	}
}

// A target reports that it is leaving, and its record is gone after an outage of the store. It must
// get no requests during the outage. After it, the target must not be kept, unlike targets whose
// records only expired.
func TestLeavingTargetNotKeptAfterOutage(t *testing.T) {
	c := parkedControl(t)
	from := c.started
	leaving := item("leaving", 9)
	leaving.Value.Leaving = true
	targetsListed{items: []roster.Item[slot.Target]{leaving, item("expires", 8), item("stays", 10)}, revision: 10, askedAt: from}.apply(from, c)
	readFinished{errors.New("no answer")}.apply(from.Add(time.Second), c)
	qt.Assert(t, c.usableTargets(from.Add(2 * time.Second))["leaving"].Value.Leaving, qt.IsTrue)
	back := from.Add(4 * time.Second)
	targetsListed{items: []roster.Item[slot.Target]{item("stays", 10)}, revision: 20, askedAt: back}.apply(back, c)
	usable := c.usableTargets(back.Add(time.Millisecond))
	_, expired := usable["expires"]
	qt.Assert(t, expired, qt.IsTrue)
	_, left := usable["leaving"]
	qt.Assert(t, left, qt.IsFalse)
}

// The store stops answering for just as long as records take to expire. Afterwards its list lacks
// targets that work, and callers are refused if these are dropped. An entry must detect the failure
// by then: the first call without a response counts, not only the last one of several.
func TestSilentStoreDetected(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Silent: true} })
	began := time.Now()
	w.waitFor("the store unavailable", func() bool {
		e.freshness.mu.Lock()
		defer e.freshness.mu.Unlock()
		return e.freshness.storeUnavailable
	})
	w.c.Assert(time.Since(began) < roster.OutageAge, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
