package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// drain is how long after the store's word a request may still reach a target
// that leaves.
const drain = 2 * time.Second

// parked is the control loop of an entry that doesn't run, so that a test says
// what it hears and when.
func parked(t *testing.T) *control {
	w := newWorld(t, site{})
	g := w.gateway("parked", 1)
	t.Cleanup(g.relay.Close)
	t.Cleanup(g.unlisten)
	return g.control
}

// others lets an entry know of others that live.
func (c *control) others(now time.Time, names ...string) {
	var list []member.Entry
	for _, name := range names {
		list = append(list, other(name))
	}
	c.drive(now, member.Fetched{Entries: list})
}

func other(name string) member.Entry {
	return member.Entry{
		ID: member.ID{Name: name, Boot: 1}, Caller: "127.0.0.1:1", Peer: "127.0.0.1:2", Place: "hall", Region: "metro",
		State: member.Alive, Sequence: 1,
	}
}

// heardFrom is a message of an entry that lives.
func heardFrom(name string) member.Event {
	return member.Request{Message: member.Message{From: member.ID{Name: name, Boot: 1}}}
}

func item(name string, rev roster.Revision) roster.Item[slot.Target] {
	return roster.Item[slot.Target]{Name: name, Revision: rev, Value: slot.Target{ID: name, Service: "gowns", Slots: 2}}
}

func removed(name string, rev roster.Revision) roster.Change[slot.Target] {
	return roster.Change[slot.Target]{Item: roster.Item[slot.Target]{Name: name, Revision: rev}, Deleted: true}
}

// A target's record is removed while the store is up. One gateway hears of it
// late, when what it knew is over 2 s old, takes the store for having been away,
// and goes on sending requests to the target for 2.2 s more: these reach a target
// that has said that it is gone. Seen by users 2.6 s after the store's word.
// Only what shows that the store did not answer may keep a target.
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

// Nine of ten entries lose the store without a word, among them all that read it
// for the others. A target's record is removed at that moment. The tenth, which
// has callers, must have stopped sending to it when the bound is over: its own way
// to the store is free.
func TestServingEntryIsInTime(t *testing.T) {
	tests := []struct {
		name string
		idle time.Duration // until the first request
	}{
		{"serving all the while", 0},
		{"first request just after the bound", drain + 50*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, site{targets: 2})
			entries := several(w, 10)
			live := candidates(entries)
			cut := make(map[string]bool)
			var last *entry
			for _, e := range entries {
				if owner.Rank(live, dutyNames[dutyTargets], e.self.Name) == len(entries)-1 {
					last = e
				} else {
					cut[e.self.Name] = true
				}
			}
			w.store.Fail(func(r *http.Request) objects.Fault { return objects.Fault{Silent: cut[r.Header.Get("User-Agent")]} })
			w.store.Delete("servers", w.workers[0].ID)
			left := time.Now()
			time.Sleep(tt.idle)
			for time.Since(left) < drain+time.Second {
				w.c.Assert(last.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			}
			for _, r := range w.workers[0].Runs() {
				w.c.Assert(r.At.Sub(left) < drain, qt.IsTrue, qt.Commentf("%v", r.At.Sub(left)))
			}
			w.c.Assert(len(w.workers[1].Runs()) > 0, qt.IsTrue)
		})
	}
}

// An entry starts and is told the targets by one that the store has turned away
// for seconds. Taken for as old as its own start, that would stay unchecked for
// longer than a leaving target may get requests.
func TestAgeAtAStartIsThatOfTheWord(t *testing.T) {
	c := parked(t)
	now := c.started.Add(100 * time.Millisecond)
	newsPulled{asked: now, news: relay.News{
		Targets: relay.Listed, Changes: []roster.Change[slot.Target]{{Item: item("a", 5)}}, At: 5, Moved: 5, Age: 3 * time.Second,
	}}.apply(now, c)
	qt.Assert(t, c.age(now, dutyTargets) >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", c.age(now, dutyTargets)))
}

// The answer to a pull is held up on its way. What it says was true when it was
// sent, at the earliest when it was asked for: taken for new as it comes, a list
// would count as younger than it is.
func TestAgeOfAnAnswerThatTookLong(t *testing.T) {
	const held = 400 * time.Millisecond
	c := parked(t)
	asked := c.started.Add(time.Second)
	now := asked.Add(held)
	newsPulled{asked: asked, news: relay.News{
		Targets: relay.Listed, Changes: []roster.Change[slot.Target]{{Item: item("a", 5)}}, At: 5, Moved: 5,
	}}.apply(now, c)
	qt.Assert(t, c.age(now, dutyTargets) >= held, qt.IsTrue, qt.Commentf("%v", c.age(now, dutyTargets)))
}

// A request waits for a target of a service while a new configuration drops the
// service, and the target leaves after that. The request must not be sent there.
func TestLeavingTargetOfADroppedService(t *testing.T) {
	w := newWorld(t, site{targets: 1})
	e := w.entry("a").settled()
	for _, k := range w.workers {
		k.Work(5 * time.Second)
	}
	sv := e.view.Load().services["gowns"]
	for i := range w.workers[0].Slots + 1 {
		go e.callWith(t.Context(), fmt.Sprint("q", i), "GET", "/a/x", "")
	}
	waits := func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		seeking, _ := sv.book.Len()
		return seeking > 0
	}
	w.until("a request that waits", waits)
	w.version++
	w.store.PutConfig(w.version, []objects.Route{{
		Name: "r-a", Host: "veil.example", Prefix: "/a/", Timeout: "2s", Goal: "1s", Attempts: 3, Service: "veils",
	}}, []string{"veils"})
	w.until("the new configuration", func() bool { return int(e.version()) == w.version })
	w.c.Assert(waits(), qt.IsTrue)
	w.store.Delete("servers", w.workers[0].ID)
	w.until("the target gone, or nothing left that waits", func() bool {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return !sv.book.Has(w.workers[0].ID)
	})
}

// mute is an entry that takes a pull and never answers, as one whose VM loses
// power right after it told of news.
type mute struct{}

func (mute) News(ctx context.Context, _ relay.Have) (n relay.News, err error) {
	<-ctx.Done()
	return n, ctx.Err()
}

// teller is an entry that answers pulls.
type teller relay.News

func (n teller) News(context.Context, relay.Have) (relay.News, error) { return relay.News(n), nil }

// The entry that has read of a target's leaving tells the others, and its VM loses
// power before they have pulled that from it. Another one that knows tells them
// too. They must not wait for the dead one until its call is given up.
func TestNewsPastADeadEntry(t *testing.T) {
	const bound = 250 * time.Millisecond
	w := newWorld(t, site{targets: 1})
	e := w.entry("a").settled()
	w.store.Fail(turnAway(e))
	peer := func(name string, s relay.Source) *relay.Relay {
		r, err := relay.New(relay.Config{
			Address: "127.0.0.1:0", Source: s, Log: e.log, Heard: func(relay.Packet, string) {}, Sent: func(int) {},
			Self: func() member.ID { return member.ID{Name: name, Boot: 1} },
		})
		w.c.Assert(err, qt.IsNil)
		go r.Serve(t.Context())
		w.c.Cleanup(r.Close)
		return r
	}
	const news = 1 << 40
	gone := relay.News{
		Targets: relay.Changed, Changes: []roster.Change[slot.Target]{removed(w.workers[0].ID, news)}, At: news, Moved: news,
	}
	told := relay.Packet{Kind: relay.Tell, Knowledge: relay.Knowledge{Config: 1, Targets: news}}
	dead, other := peer("dead", mute{}), peer("other", teller(gone))
	w.c.Assert(dead.Send(e.self.Peer, told), qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	w.c.Assert(other.Send(e.self.Peer, told), qt.IsNil)
	w.until("the target gone", func() bool { return !e.hasTarget(w.workers[0].ID) })
	w.c.Assert(time.Since(began) < bound, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// An entry is told to stop and goes on serving for three seconds. A target leaves
// meanwhile: though nobody is sent to this entry any more and it reads for nobody,
// its requests must keep away from the target as all others do.
func TestStoppingEntryIsInTime(t *testing.T) {
	w := newWorld(t, site{targets: 2})
	for _, e := range several(w, 3) {
		b := *e.bounds.Load()
		b.Grace = 6 * time.Second
		e.bounds.Store(&b)
		if e.self.Name != "e0" {
			continue
		}
		e.stop()
		time.Sleep(100 * time.Millisecond)
		w.store.Delete("servers", w.workers[0].ID)
		left := time.Now()
		for time.Since(left) < drain+500*time.Millisecond {
			w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
		}
		for _, r := range w.workers[0].Runs() {
			w.c.Assert(r.At.Sub(left) < drain, qt.IsTrue, qt.Commentf("%v", r.At.Sub(left)))
		}
		w.c.Assert(<-e.done, qt.IsNil)
	}
}

// An entry that has just started asks another one for the targets and reads the
// store itself. The answer of the other one comes later and is older: a target in
// it that the store doesn't list any more must not come back, here or at those that
// are told by this entry.
func TestOlderAnswerAfterTheFirstRead(t *testing.T) {
	older := []roster.Change[slot.Target]{{Item: item("gone", 9)}, {Item: item("stays", 10)}}
	tests := []struct {
		name string
		late message
	}{
		{"a list", newsPulled{news: relay.News{Targets: relay.Listed, Changes: older, At: 12, Moved: 10}}},
		{"changes", newsPulled{news: relay.News{Targets: relay.Changed, Changes: older, At: 12, Moved: 10}}},
		{"a watch that was asked before", targetsChanged{changes: older, at: 12}},
	}
	for _, tt := range tests {
		c := parked(t)
		now := c.started.Add(100 * time.Millisecond)
		targetsListed{items: []roster.Item[slot.Target]{item("stays", 20)}, at: 21, asked: now}.apply(now, c)
		tt.late.apply(now.Add(time.Millisecond), c)
		_, back := c.usable(now.Add(2 * time.Millisecond))["gone"]
		qt.Check(t, back, qt.IsFalse, qt.Commentf("%s", tt.name))
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
