package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// An entry that starts pulls the targets from one that the store hasn't served for seconds. If it
// counted their age from its own start, they would stay unconfirmed for longer than a leaving
// target may get requests.
func TestPulledAgeAfterStart(t *testing.T) {
	c := parkedControl(t)
	now := c.started.Add(100 * time.Millisecond)
	pullFinished{askedAt: now, result: relay.PullResult{
		Targets: relay.TargetsListed, Changes: []roster.Change[slot.Target]{{Item: item("a", 5)}}, Revision: 5, LastChange: 5, Age: 3 * time.Second,
	}}.apply(now, c)
	qt.Assert(t, c.age(now, resourceTargets) >= 3*time.Second, qt.IsTrue, qt.Commentf("%v", c.age(now, resourceTargets)))
}

// The reply to a pull is delayed on its way. Its age must be measured from the time of the pull,
// the earliest time at which it can have been sent. Measured from its arrival, the data would seem
// younger than it is.
func TestPulledAgeAfterSlowAnswer(t *testing.T) {
	const held = 400 * time.Millisecond
	c := parkedControl(t)
	asked := c.started.Add(time.Second)
	now := asked.Add(held)
	pullFinished{askedAt: asked, result: relay.PullResult{
		Targets: relay.TargetsListed, Changes: []roster.Change[slot.Target]{{Item: item("a", 5)}}, Revision: 5, LastChange: 5,
	}}.apply(now, c)
	qt.Assert(t, c.age(now, resourceTargets) >= held, qt.IsTrue, qt.Commentf("%v", c.age(now, resourceTargets)))
}

// silentSource never answers a pull, as an entry whose VM loses power right after it advertised a
// change.
type silentSource struct{}

func (silentSource) AnswerPull(ctx context.Context, _ relay.PullQuery) (n relay.PullResult, err error) {
	<-ctx.Done()
	return n, ctx.Err()
}

// fixedSource answers each pull with the same result.
type fixedSource relay.PullResult

func (n fixedSource) AnswerPull(context.Context, relay.PullQuery) (relay.PullResult, error) {
	return relay.PullResult(n), nil
}

// An entry advertises that a target has left, and its VM loses power before the others have pulled
// that. Another entry advertises the same change. The others must pull from it, and not wait until
// the call to the dead entry fails.
func TestPullFromSecondEntry(t *testing.T) {
	const bound = 250 * time.Millisecond
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	w.store.SetFaults(refuseStoreCalls(e))
	peer := func(name string, s relay.Source) *relay.Relay {
		r, err := relay.New(relay.Config{
			Address: "127.0.0.1:0", Source: s, Log: e.log, OnPacket: func(relay.Packet, string) {}, OnSent: func(int, bool) {}, OnLost: func(int) {},
			Self: func() member.ID { return member.ID{Name: name, Boot: 1} },
		})
		w.c.Assert(err, qt.IsNil)
		go r.Serve(t.Context())
		w.c.Cleanup(r.Close)
		return r
	}
	newer := roster.NewRevision(1, 1<<40) // newer than all revisions in the store
	answer := relay.PullResult{
		Targets: relay.TargetsChanged, Changes: []roster.Change[slot.Target]{removed(w.workers[0].ID, newer)}, Revision: newer, LastChange: newer,
	}
	advertised := relay.Packet{Kind: relay.Announcement, Knowledge: relay.Knowledge{Config: 1, Targets: newer}}
	dead, other := peer("dead", silentSource{}), peer("other", fixedSource(answer))
	w.c.Assert(dead.Send(e.self.PeerAddress, advertised), qt.IsNil)
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	w.c.Assert(other.Send(e.self.PeerAddress, advertised), qt.IsNil)
	w.waitFor("the target gone", func() bool { return !e.hasTarget(w.workers[0].ID) })
	w.c.Assert(time.Since(began) < bound, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}

// An entry that has just started pulls the targets from another entry and reads the store itself.
// The reply to the pull comes later and is older. A target in it that the store no longer lists
// must not come back, or entries that pull from this one would get it too.
func TestOlderAnswerAfterFirstRead(t *testing.T) {
	older := []roster.Change[slot.Target]{{Item: item("gone", 9)}, {Item: item("stays", 10)}}
	tests := []struct {
		name string
		late message
	}{
		{"a list", pullFinished{result: relay.PullResult{Targets: relay.TargetsListed, Changes: older, Revision: 12, LastChange: 10}}},
		{"changes", pullFinished{result: relay.PullResult{Targets: relay.TargetsChanged, Changes: older, Revision: 12, LastChange: 10}}},
		{"a watch that began before", targetsChanged{changes: older, revision: 12}},
	}
	for _, tt := range tests {
		c := parkedControl(t)
		now := c.started.Add(100 * time.Millisecond)
		targetsListed{items: []roster.Item[slot.Target]{item("stays", 20)}, revision: 21, askedAt: now}.apply(now, c)
		tt.late.apply(now.Add(time.Millisecond), c)
		_, back := c.usableTargets(now.Add(2 * time.Millisecond))["gone"]
		qt.Check(t, back, qt.IsFalse, qt.Commentf("%s", tt.name))
	}
}
