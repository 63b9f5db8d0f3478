package claim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

func fleet(n int, boot uint64) []ring.Member {
	var out []ring.Member
	for i := range n {
		out = append(out, ring.Member{Ident: ring.Ident{Name: fmt.Sprintf("e%d", i), Boot: boot}, Place: fmt.Sprintf("hall-%d", i)})
	}
	return out
}

var (
	stable = ring.Ring{Revision: 4, Members: fleet(3, 1)}
	moved  = ring.Ring{Revision: 5, Members: fleet(3, 2)}
	joint  = ring.Ring{Revision: 5, Members: fleet(3, 2), Old: fleet(3, 1)}
)

func bid(r ring.Ring) Bid {
	return Bid{
		Claim:    of("k", 1),
		Ring:     r,
		Bounds:   ring.Default(),
		Deadline: epoch.Add(5 * time.Second),
		Patience: time.Second,
	}
}

func at(i int, boot uint64) ring.Ident {
	return ring.Ident{Name: fmt.Sprintf("e%d", i), Boot: boot}
}

func says(i int, v Verdict) Event {
	return Replied{From: at(i, 1), Ring: 4, Reply: Reply{Verdict: v, Ring: 4, By: other, Answer: ran}}
}

func saysJoint(i int, boot uint64, v Verdict) Event {
	return Replied{From: at(i, boot), Ring: 5, Reply: Reply{Verdict: v, Ring: 5, By: other}}
}

// step is an event and when it arrives, in milliseconds from the start.
type step struct {
	ms    int
	event Event
}

// seen is what an attempt did.
type seen struct {
	sends    int
	runs     int
	results  []Result
	withdraw int
	record   int
}

func (s *seen) take(out []Action) {
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			s.sends++
		case Run:
			s.runs++
		case Finish:
			s.results = append(s.results, a.Result)
		case Tell:
			if a.Settlement.Withdraw {
				s.withdraw++
			} else {
				s.record++
			}
		}
	}
}

func play(b Bid, steps []step) (s seen) {
	a, out := Begin(epoch, b)
	s.take(out)
	for _, st := range steps {
		s.take(a.Step(epoch.Add(time.Duration(st.ms)*time.Millisecond), st.event))
	}
	return s
}

// A booking is sent once, or again through another entry while the first try is
// still running, or its replicas die, restart, lag or refuse. The attempt runs
// only with a majority, and says that nothing ran only where that is certain.
func TestAttempt(t *testing.T) {
	fresh := Ended{Outcome: call.Ran, Answer: *ran}
	for _, tc := range []struct {
		name     string
		ring     ring.Ring
		steps    []step
		runs     int
		kind     Kind
		reason   Reason
		pending  bool // no result yet
		withdraw int
		record   int
	}{
		{name: "no reply", ring: stable, pending: true},
		{name: "one accepts", ring: stable, steps: []step{{1, says(0, Accepted)}}, pending: true},
		{name: "one accepts twice", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(0, Accepted)}}, pending: true},
		{name: "two accept", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(2, Accepted)}}, runs: 1, pending: true},
		{name: "three accept, it runs once", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(2, Accepted)}, {3, says(1, Accepted)}, {4, fresh}}, runs: 1, kind: Fresh, record: 3},
		{name: "accepted by a stranger", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(7, Accepted)}}, pending: true},
		{name: "accepted under another ring", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, saysJoint(1, 1, Accepted)}}, pending: true},
		{name: "accepted by another incarnation", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Replied{From: at(1, 2), Ring: 4, Reply: Reply{Verdict: Accepted}}}}, pending: true},
		{name: "majority after the deadline", ring: stable, steps: []step{{1, says(0, Accepted)}, {5000, says(1, Accepted)}}, kind: NotRun, reason: ReasonDeadline, withdraw: 3},
		{name: "it surely did not run", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(1, Accepted)}, {3, Ended{Outcome: call.NotRun, Reason: "shed"}}}, runs: 1, kind: NotRun, reason: "shed", withdraw: 3},
		{name: "it may have run", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(1, Accepted)}, {3, Ended{Reason: "cut"}}}, runs: 1, kind: Uncertain, reason: "cut", record: 3},
		{name: "it may have run, nothing is said", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(1, Accepted)}, {3, Ended{}}}, runs: 1, kind: Uncertain, record: 3},
		{name: "an outcome without a run", ring: stable, steps: []step{{1, fresh}}, pending: true},
		{name: "held by most", ring: stable, steps: []step{{1, says(0, Held)}, {2, says(1, Held)}}, kind: Uncertain, reason: ReasonInProgress, withdraw: 3},
		{name: "held by one, two accept", ring: stable, steps: []step{{1, says(0, Held)}, {2, says(1, Accepted)}, {3, says(2, Accepted)}}, runs: 1, pending: true},
		{name: "held by one, one is silent", ring: stable, steps: []step{{1, says(0, Held)}, {2, says(1, Accepted)}, {1000, Tick{}}}, kind: Uncertain, reason: ReasonInProgress, withdraw: 3},
		{name: "settled", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, says(1, Settled)}}, kind: Replay, withdraw: 3},
		{name: "key reused", ring: stable, steps: []step{{1, says(0, OtherPrint)}, {2, says(1, OtherPrint)}}, kind: Conflict, reason: ReasonKeyReused, withdraw: 3},
		{name: "key reused, only one says so", ring: stable, steps: []step{{1, says(0, OtherPrint)}, {2, says(1, Held)}}, kind: Uncertain, reason: ReasonKeyReused, withdraw: 3},
		{name: "key reused in the new list, which lacks the records", ring: joint, steps: []step{{1, saysJoint(0, 2, OtherPrint)}, {2, saysJoint(1, 2, OtherPrint)}}, kind: Uncertain, reason: ReasonKeyReused, withdraw: 6},
		{name: "full", ring: stable, steps: []step{{1, says(0, Full)}, {2, says(1, Full)}}, kind: Uncertain, reason: ReasonFull, withdraw: 3},
		{name: "one dead, two accept", ring: stable, steps: []step{{1, Unreachable{at(0, 1), 4}}, {2, says(1, Accepted)}, {3, says(2, Accepted)}}, runs: 1, pending: true},
		{name: "two dead", ring: stable, steps: []step{{1, Unreachable{at(0, 1), 4}}, {2, says(1, Accepted)}, {3, Unreachable{at(2, 1), 4}}, {1000, Tick{}}}, kind: Uncertain, reason: ReasonUnreachable, withdraw: 3},
		{name: "two restarted", ring: stable, steps: []step{{1, says(0, WrongIncarnation)}, {2, says(1, WrongIncarnation)}}, kind: Uncertain, reason: ReasonUnreachable, withdraw: 3},
		{name: "all silent until the deadline", ring: stable, steps: []step{{5000, Tick{}}}, kind: Uncertain, reason: ReasonUnreachable, withdraw: 3},
		{name: "replies after the end", ring: stable, steps: []step{{1000, Tick{}}, {1001, says(0, Accepted)}, {1002, says(1, Accepted)}}, kind: Uncertain, reason: ReasonUnreachable, withdraw: 3},
		{name: "majority of the new list only", ring: joint, steps: []step{{1, saysJoint(0, 2, Accepted)}, {2, saysJoint(1, 2, Accepted)}, {3, saysJoint(2, 2, Accepted)}, {4, saysJoint(0, 1, Accepted)}}, pending: true},
		{name: "majority of the old list only", ring: joint, steps: []step{{1, saysJoint(0, 1, Accepted)}, {2, saysJoint(1, 1, Accepted)}, {3, saysJoint(2, 1, Accepted)}, {4, saysJoint(0, 2, Accepted)}}, pending: true},
		{name: "majority of both lists", ring: joint, steps: []step{{1, saysJoint(0, 2, Accepted)}, {2, saysJoint(1, 2, Accepted)}, {3, saysJoint(2, 1, Accepted)}, {4, saysJoint(0, 1, Accepted)}}, runs: 1, pending: true},
		{name: "held by most of the old list", ring: joint, steps: []step{{1, saysJoint(0, 1, Held)}, {2, saysJoint(1, 1, Held)}}, kind: Uncertain, reason: ReasonInProgress, withdraw: 6},
		{name: "the ring changes between two replies", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Changed{joint}}, {3, says(1, Accepted)}}, pending: true},
		{name: "the ring changes and all accept again", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Changed{joint}}, {3, saysJoint(0, 1, Accepted)}, {3, saysJoint(1, 1, Accepted)}, {3, saysJoint(0, 2, Accepted)}, {3, saysJoint(1, 2, Accepted)}}, runs: 1, pending: true},
		{name: "the ring changes to other replicas", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Changed{moved}}}, pending: true},
		{name: "the ring changes to other replicas, which accept", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Changed{moved}}, {3, saysJoint(0, 2, Accepted)}, {4, saysJoint(1, 2, Accepted)}, {5, fresh}}, runs: 1, kind: Fresh, record: 6},
		{name: "the ring changes to other replicas, which refuse", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Changed{moved}}, {3, saysJoint(0, 2, Held)}, {4, saysJoint(1, 2, Held)}}, kind: Uncertain, reason: ReasonHolderGone, withdraw: 6},
		{name: "the ring changes during the run", ring: stable, steps: []step{{1, says(0, Accepted)}, {1, says(1, Accepted)}, {2, Changed{joint}}, {3, fresh}}, runs: 1, kind: Fresh, record: 6},
		{name: "an older ring comes late", ring: joint, steps: []step{{1, Changed{stable}}, {2, says(0, Accepted)}, {3, says(1, Accepted)}}, pending: true},
		{name: "records lost", ring: ring.Ring{Revision: 4, Members: fleet(3, 1), Losses: []ring.Loss{{At: epoch}}}, kind: Uncertain, reason: ReasonRecordsLost},
		{name: "records lost meanwhile", ring: stable, steps: []step{{1, says(0, Accepted)}, {2, Changed{ring.Ring{Revision: 6, Members: fleet(3, 1), Losses: []ring.Loss{{At: epoch}}}}}}, kind: Uncertain, reason: ReasonRecordsLost, withdraw: 3},
		{name: "no members", ring: ring.Ring{Revision: 4}, steps: []step{{1, says(0, Accepted)}}, pending: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			got := play(bid(tc.ring), tc.steps)
			c.Assert(got.runs, qt.Equals, tc.runs)
			if tc.pending {
				c.Assert(got.results, qt.HasLen, 0)
				c.Assert(got.withdraw+got.record, qt.Equals, 0)
				return
			}
			c.Assert(got.results, qt.HasLen, 1)
			c.Assert(got.results[0].Kind, qt.Equals, tc.kind)
			c.Assert(got.results[0].Reason, qt.Equals, tc.reason)
			c.Assert(got.withdraw, qt.Equals, tc.withdraw)
			c.Assert(got.record, qt.Equals, tc.record)
		})
	}
}

func TestAttemptAsksAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event Event
		sends int
	}{
		{"silent", Tick{}, 3},
		{"unreachable", Unreachable{at(0, 1), 4}, 4},
		{"behind", says(0, WrongRing), 4},
		{"restarted", says(0, WrongIncarnation), 3},
		{"restarted and in a newer ring", Replied{From: at(0, 1), Ring: 4, Reply: Reply{Verdict: WrongIncarnation, Ring: 5}}, 4},
		{"accepted", says(0, Accepted), 3},
		{"unreachable under a former ring", Unreachable{at(0, 1), 3}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := play(bid(stable), []step{{1, tc.event}, {20, Tick{}}, {21, Tick{}}})
			qt.Assert(t, got.sends, qt.Equals, tc.sends)
		})
	}
}

// The holder of a key is gone for good, so waiting for it is no use.
func TestHolderGone(t *testing.T) {
	c := qt.New(t)
	held := func(i int) Event {
		return Replied{From: at(i, 1), Ring: 4, Reply: Reply{Verdict: Held, By: at(9, 1)}}
	}
	got := play(bid(stable), []step{{1, held(0)}, {2, held(1)}})
	c.Assert(got.results[0].Reason, qt.Equals, ReasonHolderGone)
}

func TestReplayWithoutBody(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer *Answer
		kind   Kind
		reason Reason
	}{
		{"whole", ran, Replay, ""},
		{"not kept", &Answer{Outcome: call.Ran, Status: 201}, Replay, ReasonNotKept},
		{"unknown", &Answer{Outcome: call.Unknown}, Uncertain, ReasonRanUnknown},
		{"none", nil, Uncertain, ReasonRanUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			reply := Replied{From: at(0, 1), Ring: 4, Reply: Reply{Verdict: Settled, Answer: tc.answer}}
			got := play(bid(stable), []step{{1, reply}})
			c.Assert(got.results[0].Kind, qt.Equals, tc.kind)
			c.Assert(got.results[0].Reason, qt.Equals, tc.reason)
		})
	}
}
