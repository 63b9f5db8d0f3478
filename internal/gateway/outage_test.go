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

// A target's record is removed while the store is up. One gateway hears of it
// late, when what it knew is over 2 s old, takes the store for having been away,
// and goes on sending requests to the target for 2.2 s more: these reach a target
// that has said that it is gone. Logs of 113 gateways showed 11 that took a store
// that was up for away, and kept targets that were removed 1.9 s later. Only what
// shows that the store did not answer may keep a target.
func TestRemovedTargetIsKeptOnlyAfterAnOutage(t *testing.T) {
	const late = roster.OutageAge + 500*time.Millisecond
	const back = late - 100*time.Millisecond // others are heard again after a cut
	failed := storeAnswered{errors.New("no answer")}
	read := func(asked time.Time) message {
		return targetsChanged{changes: []roster.Change[slot.Target]{removed("gone", 20)}, at: 20, asked: asked}
	}
	told := func(asked time.Time) message {
		return newsPulled{asked: asked, news: relay.News{
			Targets: relay.Changed, Changes: []roster.Change[slot.Target]{removed("gone", 20)}, At: 20, Moved: 20,
		}}
	}
	tests := []struct {
		name  string
		since func(c *control, from time.Time) // what happens until the word comes
		word  func(asked time.Time) message
		kept  bool
	}{
		{"read late, the store is up", nil, read, false},
		{"told late by another entry, the store is up", nil, told, false},
		{"own calls failed", func(c *control, from time.Time) {
			failed.apply(from.Add(time.Second), c)
		}, read, true},
		{"own calls failed, told by another entry", func(c *control, from time.Time) {
			failed.apply(from.Add(time.Second), c)
		}, told, true},
		{"others say that the store turns them away", func(c *control, from time.Time) {
			shut := other("shut")
			shut.Shut = true
			c.drive(from.Add(time.Second), member.Fetched{Entries: []member.Entry{shut}})
			c.live()
		}, read, true},
		{"own calls failed, then the store answered another entry", func(c *control, from time.Time) {
			failed.apply(from.Add(100*time.Millisecond), c)
			c.knows(from.Add(300*time.Millisecond), "127.0.0.1:2", relay.Knowledge{Targets: 10})
		}, read, false},
		{"own calls failed, and all pass on the store's last word", func(c *control, from time.Time) {
			failed.apply(from.Add(50*time.Millisecond), c)
			for at := from.Add(roundPeriod); at.Before(from.Add(late)); at = at.Add(roundPeriod / 2) {
				// It takes 10 ms to the next entry, which counts them as nothing.
				age := at.Sub(c.confirmed[dutyTargets]) - 10*time.Millisecond
				c.knows(at, "127.0.0.1:2", relay.Knowledge{Targets: 10, TargetsAge: age})
			}
		}, read, true},
		{"own calls failed, and at first nothing has changed on the store's return", func(c *control, from time.Time) {
			failed.apply(from.Add(time.Second), c)
			c.knows(from.Add(late-200*time.Millisecond), "127.0.0.1:2", relay.Knowledge{Targets: 10})
		}, read, true},
		{"cut off from the store and from all others", func(c *control, from time.Time) {
			c.others(from, "unheard")
			failed.apply(from.Add(400*time.Millisecond), c)
			c.tick(from.Add(aloneAfter + tickPeriod))
			failed.apply(from.Add(2*time.Second), c)
		}, told, false},
		{"cut off until all others count as dead", func(c *control, from time.Time) {
			c.others(from, "unheard")
			for at := from; at.Before(from.Add(late)); at = at.Add(roundPeriod) {
				c.rounds(at)
				c.tick(at)
			}
			failed.apply(from.Add(late-failTime), c)
		}, told, false},
		{"cut off, a call from then fails when others are heard again", func(c *control, from time.Time) {
			c.others(from, "unheard")
			c.tick(from.Add(aloneAfter + tickPeriod))
			c.drive(from.Add(back), heardFrom("unheard"))
			failed.apply(from.Add(back), c)
		}, told, false},
		{"cut off, others that were too tell of it when they are heard again", func(c *control, from time.Time) {
			c.others(from, "unheard")
			c.tick(from.Add(aloneAfter + tickPeriod))
			c.drive(from.Add(back), heardFrom("unheard"))
			shut := other("shut")
			shut.Shut = true
			c.drive(from.Add(back), member.Fetched{Entries: []member.Entry{shut}})
		}, told, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := parked(t)
			from := c.started
			targetsListed{items: []roster.Item[slot.Target]{item("gone", 9), item("stays", 10)}, at: 10, asked: from}.apply(from, c)
			if tt.since != nil {
				tt.since(c, from)
			}
			heard := from.Add(late)
			tt.word(heard).apply(heard, c)
			_, kept := c.usable(heard.Add(time.Millisecond))["gone"]
			qt.Assert(t, kept, qt.Equals, tt.kept)
		})
	}
}

// A target says that it leaves, then the store is away, and its record is gone on the
// store's return. Its word counts all the while: it gets nothing during the outage, and
// isn't awaited after it as those are whose records only lapsed.
func TestLeavingTargetIsNotAwaited(t *testing.T) {
	c := parked(t)
	from := c.started
	leaving := item("leaving", 9)
	leaving.Value.Leaving = true
	targetsListed{items: []roster.Item[slot.Target]{leaving, item("lapses", 8), item("stays", 10)}, at: 10, asked: from}.apply(from, c)
	storeAnswered{errors.New("no answer")}.apply(from.Add(time.Second), c)
	qt.Assert(t, c.usable(from.Add(2 * time.Second))["leaving"].Value.Leaving, qt.IsTrue)
	back := from.Add(4 * time.Second)
	targetsListed{items: []roster.Item[slot.Target]{item("stays", 10)}, at: 20, asked: back}.apply(back, c)
	usable := c.usable(back.Add(time.Millisecond))
	_, lapsed := usable["lapses"]
	qt.Assert(t, lapsed, qt.IsTrue)
	_, left := usable["leaving"]
	qt.Assert(t, left, qt.IsFalse)
}

// The store falls silent, for just as long as records need to lapse. On its return its
// list lacks targets that are well, and callers are refused if these are dropped. An
// entry has seen it fail by then: its first call that got no answer counts, not only the
// last one of several.
func TestSilentStoreIsSeenToFail(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	e := w.entry("a").settled()
	w.store.Fail(func(*http.Request) objects.Fault { return objects.Fault{Silent: true} })
	began := time.Now()
	w.until("a store that fails", func() bool {
		e.freshness.mu.Lock()
		defer e.freshness.mu.Unlock()
		return e.freshness.away
	})
	w.c.Assert(time.Since(began) < roster.OutageAge, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
