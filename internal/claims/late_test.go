package claims

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/claim"
)

// The caller is gone by the time its claim is accepted, here by the only
// replica. A dispatch now would run a booking that nobody waits for.
func TestCancelledIsNotDispatched(t *testing.T) {
	s, c := build(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := Request{Service: "deposit-ledger", Key: "k", Print: 1, Deadline: time.Now().Add(time.Minute)}
	c.Assert(s.nodes[0].Do(ctx, r, s.run("k")).Kind, qt.Equals, claim.NotRun)
	c.Assert(s.count("k"), qt.Equals, 0)
	c.Assert(s.do(s.nodes[0], "k", s.run("k")).Kind, qt.Equals, claim.Fresh)
}

// A replica dies while the request runs, and the ring moves on. The entry that
// took its place has a copy without the outcome, and must hear of it too, or a
// resend would be told for ever that the request is in progress.
func TestRingMovesDuringRun(t *testing.T) {
	s, c := build(t, 5)
	run := s.run("k")
	moving := func(ctx context.Context) claim.Ended {
		s.kill(s.replicas("k")[0])
		s.settledLive()
		return run(ctx)
	}
	n := s.outsider("k")
	c.Assert(s.do(n, "k", moving).Kind, qt.Equals, claim.Fresh)
	s.recorded("k")
	for _, m := range s.replicas("k") {
		keys, _ := m.Keys()
		c.Assert(keys, qt.Equals, 1)
	}
	c.Assert(s.do(n, "k", run).Kind, qt.Equals, claim.Replay)
}

// An entry has missed a change of the ring. Replicas refuse it, and it takes
// the ring from them instead of failing its callers.
func TestEntryThatMissedTheRing(t *testing.T) {
	s, c := build(t, 5)
	n := s.outsider("k")
	n.stop()
	before := n.Ring().Revision
	s.add("e5", 1)
	s.until("the others to move on", func() bool { return s.replicas("k")[0].Ring().Revision > before })
	c.Assert(s.do(n, "k", s.run("k")).Kind, qt.Equals, claim.Fresh)
	c.Assert(s.count("k"), qt.Equals, 1)
}
