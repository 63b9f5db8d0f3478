package call

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// rich returns a budget that allows n extra dispatches of each kind.
func rich(n int) *Budget {
	b := NewBudget(BudgetConfig{Share: 1, Levels: 1})
	for range 2 * n {
		b.First(0, 0)
	}
	return b
}

// step is one event; now is milliseconds after the arrival.
type step struct {
	now   int
	event any
}

type (
	hedge  struct{}
	expire struct{}
	leave  struct{}
)

func (c *Call) apply(now time.Time, event any) (acts Actions) {
	switch e := event.(type) {
	case Arrival:
		return c.Arrive(now, e)
	case Choice:
		return c.Choose(now, e)
	case Decline:
		return c.Decline(now, e)
	case Failed:
		return c.Fail(now, e)
	case Head:
		return c.Head(now, e)
	case End:
		c.End(now, e)
	case hedge:
		return c.Hedge(now)
	case expire:
		return c.Expire(now)
	case leave:
		return c.Leave(now)
	}
	return acts
}

func names(acts Actions) string {
	var out []string
	for _, a := range acts.All() {
		out = append(out, a.Do.String())
	}
	return strings.Join(out, " ")
}

// A caller gets the outcome not-run only if its request can't have run. Each case fails
// a request at a different point, with the events in the order in which an entry receives
// them, and lists the outcome that the caller gets.
func TestOutcome(t *testing.T) {
	deadline := start.Add(100 * time.Millisecond)
	nonIdempotent := Arrival{Deadline: deadline}
	idempotent := Arrival{Deadline: deadline, Idempotent: true, Hedge: 10 * time.Millisecond}
	notRun := func(dispatch int, s Stage) Failed { return Failed{Try: dispatch, Stage: s, Ran: DidNotRun, Replay: true} }
	mayHaveRun := func(dispatch int, s Stage) Failed { return Failed{Try: dispatch, Stage: s, Replay: true} }
	tests := []struct {
		name    string
		steps   []step
		acts    string // of the last step
		state   State
		outcome Outcome
		reason  Reason
	}{
		{"expired on arrival", []step{{99, nonIdempotent}}, "refuse", Refused, NotRun, ReasonDeadline},
		{"quarantined", []step{{0, Arrival{Deadline: deadline, Quarantined: time.Second}}}, "refuse", Refused, NotRun, ReasonQuarantined},
		{"queue full", []step{{0, nonIdempotent}, {0, Decline{Reason: ReasonOverload}}}, "refuse", Refused, NotRun, ReasonOverload},
		{"timeout in queue", []step{{0, nonIdempotent}, {100, expire{}}}, "withdraw refuse", Refused, NotRun, ReasonDeadline},
		{"target assigned too late", []step{{0, nonIdempotent}, {99, Choice{"a"}}}, "release refuse", Refused, NotRun, ReasonDeadline},
		{"caller disconnects while queued", []step{{0, nonIdempotent}, {5, leave{}}}, "withdraw refuse", Refused, NotRun, ReasonCancelled},
		{"target assigned after the end", []step{{0, nonIdempotent}, {5, leave{}}, {6, Choice{"a"}}}, "release", Refused, NotRun, ReasonCancelled},
		{"refused connection", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, notRun(0, StageRefused)}}, "acquire", Queued, NotRun, ""},
		{"refused everywhere", []step{
			{0, nonIdempotent},
			{0, Choice{"a"}},
			{1, notRun(0, StageRefused)},
			{1, Choice{"b"}},
			{2, notRun(1, StageRefused)},
			{2, Choice{"c"}},
			{3, notRun(2, StageRefused)},
		}, "refuse", Refused, NotRun, ReasonConnect},
		{"refused, then no target", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, notRun(0, StageRefused)}, {1, Decline{Reason: ReasonOverload}}}, "refuse", Refused, NotRun, ReasonConnect},
		{"refused, then timeout", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {99, notRun(0, StageConnect)}}, "refuse", Refused, NotRun, ReasonConnect},
		{"shed", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, Head{Status: 503, Shed: true, Replay: true}}}, "cancel acquire", Queued, NotRun, ""},
		{"shed after the body was read", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, Head{Status: 503, Shed: true}}}, "cancel refuse", Refused, NotRun, ReasonShed},
		{"unavailable, not marked as shed", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, Head{Status: 503, Replay: true}}}, "answer", Answered, Ran, ""},
		{"reset after the write", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, mayHaveRun(0, StageSent)}}, "refuse", GivenUp, Unknown, ReasonReset},
		{"refused, then reset", []step{
			{0, nonIdempotent}, {0, Choice{"a"}}, {1, notRun(0, StageRefused)}, {1, Choice{"b"}}, {2, mayHaveRun(1, StageSent)},
		}, "refuse", GivenUp, Unknown, ReasonReset},
		{"response cut after status 200", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, Failed{Stage: StageCut, Ran: DidRun, Replay: true}}}, "refuse", GivenUp, Ran, ReasonCut},
		{"timeout at the target", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {100, expire{}}}, "cancel refuse", GivenUp, Unknown, ReasonTimeout},
		{"timeout while connecting", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {50, notRun(0, StageTimeout)}}, "refuse", Refused, NotRun, ReasonTimeout},
		{"late response", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {100, expire{}}, {101, Head{Status: 200}}}, "cancel", GivenUp, Unknown, ReasonTimeout},
		{"caller disconnects during a dispatch", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {5, leave{}}}, "cancel refuse", GivenUp, Unknown, ReasonCancelled},
		{"no hedge", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {20, hedge{}}}, "", Dispatched, Unknown, ""},
		{"idempotent, reset", []step{{0, idempotent}, {0, Choice{"a"}}, {1, mayHaveRun(0, StageSent)}}, "acquire", Queued, Unknown, ""},
		{"idempotent, reset, body not replayable", []step{{0, idempotent}, {0, Choice{"a"}}, {1, Failed{Stage: StageSent}}}, "refuse", GivenUp, Unknown, ReasonReset},
		{"idempotent, reset, late event ignored", []step{
			{0, idempotent},
			{0, Choice{"a"}},
			{1, mayHaveRun(0, StageSent)},
			{2, notRun(0, StageConnect)},
			{3, Decline{Reason: ReasonOverload}},
		}, "refuse", GivenUp, Unknown, ReasonReset},
		{"idempotent, reset, quarantined", []step{{0, idempotent}, {0, Choice{"a"}}, {1, Failed{Stage: StageSent, Replay: true, Quarantined: true}}}, "refuse", GivenUp, Unknown, ReasonQuarantined},
		{"idempotent, unavailable", []step{{0, idempotent}, {0, Choice{"a"}}, {1, Head{Status: 503, Replay: true}}}, "cancel acquire", Queued, Unknown, ""},
		{"hedge wins", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {10, Choice{"b"}}, {12, Head{Try: 1, Status: 200}}}, "cancel answer", Answered, Ran, ""},
		{"hedge loses", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {10, Choice{"b"}}, {12, Head{Status: 200}}, {13, Head{Try: 1, Status: 200}}}, "cancel", Answered, Ran, ""},
		{"response while the hedge is pending", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {12, Head{Status: 200}}}, "withdraw answer", Answered, Ran, ""},
		{"first fails, hedge continues", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {10, Choice{"b"}}, {12, mayHaveRun(0, StageSent)}}, "", Dispatched, Unknown, ""},
		{"first fails while the hedge is pending", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {12, mayHaveRun(0, StageSent)}, {12, Decline{Reason: ReasonOverload}}}, "refuse", GivenUp, Unknown, ReasonReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			call := New(Config{Budget: rich(4)})
			var acts Actions
			for _, s := range tt.steps {
				acts = call.apply(start.Add(time.Duration(s.now)*time.Millisecond), s.event)
			}
			c.Assert(names(acts), qt.Equals, tt.acts)
			c.Assert(call.State(), qt.Equals, tt.state)
			c.Assert(call.Outcome(), qt.Equals, tt.outcome)
			if call.State() != Answered {
				c.Assert(call.Final().Reason, qt.Equals, tt.reason)
				c.Assert(call.State().Final(), qt.Equals, tt.reason != "")
			}
			if call.State() == GivenUp || call.State() == Refused {
				c.Assert(call.Final().Outcome, qt.Equals, tt.outcome)
			}
		})
	}
}

// A nested call copies the attempt count, so that its entry knows whether the tree below
// is already executed again. A dispatch that did not run doesn't count.
func TestAttemptTravels(t *testing.T) {
	tests := []struct {
		attempt int
		event   any
		want    int
	}{
		{0, Failed{Stage: StageRefused, Ran: DidNotRun, Replay: true}, 0},
		{0, Failed{Stage: StageSent, Replay: true}, 1},
		{0, Head{Status: 503, Replay: true}, 1},
		{0, Head{Status: 503, Shed: true, Replay: true}, 0},
		{0, hedge{}, 1},
		{2, Failed{Stage: StageRefused, Ran: DidNotRun, Replay: true}, 2},
	}
	for _, tt := range tests {
		c := qt.New(t)
		call := New(Config{Budget: rich(4)})
		call.Arrive(start, Arrival{Deadline: start.Add(time.Second), Idempotent: true, Attempt: tt.attempt})
		acts := call.Choose(start, Choice{"a"})
		c.Assert(acts.All()[0].Attempt, qt.Equals, tt.attempt)
		call.apply(start, tt.event)
		acts = call.Choose(start, Choice{"b"})
		c.Assert(names(acts), qt.Equals, "dispatch", qt.Commentf("%+v", tt))
		c.Assert(acts.All()[0].Attempt, qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}
}

// flight is the modelled state of one dispatch.
type flight struct {
	ended, cancelled, mayHaveRun bool
}

// model tracks the actions of a Call and checks the invariants after each event.
type model struct {
	t       *rapid.T
	call    *Call
	arrival Arrival
	flights []flight
	seeking bool
	answers int
}

func (m *model) take(acts Actions) {
	for _, a := range acts.All() {
		switch a.Do {
		case DoSeek, DoHedge:
			m.check(!m.seeking, "a second target is pending")
			m.seeking = true
		case DoWithdraw, DoRelease:
			m.seeking = false
		case DoDispatch:
			m.seeking = false
			m.dispatched()
		case DoCancel:
			m.flights[a.Try].cancelled = true
		case DoAnswer:
			m.answers++
			m.check(!m.flights[a.Try].cancelled, "response of a cancelled dispatch")
		case DoRefuse:
			m.answers++
			for _, f := range m.flights {
				m.check(m.call.Final().Outcome != NotRun || !f.mayHaveRun, "outcome not-run, but a dispatch may have run")
			}
		}
	}
	m.check(m.answers <= 1, "two responses")
	m.check(m.call.State().Final() == (m.answers == 1), "final without a response, or a response before the final state")
	if m.call.State().Final() {
		m.check(!m.seeking, "a target is still pending in a final state")
	}
}

// dispatched checks that a non-idempotent request runs once, then adds the dispatch.
func (m *model) dispatched() {
	for _, f := range m.flights {
		m.check(m.arrival.Idempotent || !f.mayHaveRun, "non-idempotent request dispatched again after it may have run")
	}
	m.flights = append(m.flights, flight{mayHaveRun: true})
	m.check(len(m.flights) <= MaxTries, "too many dispatches")
}

func (m *model) check(ok bool, what string) {
	if !ok {
		m.t.Fatalf("%s", what)
	}
}

// event draws any event, including late, duplicate and out-of-order ones.
func (m *model) event() any {
	dispatch := rapid.IntRange(-1, MaxTries).Draw(m.t, "try")
	switch rapid.IntRange(0, 8).Draw(m.t, "event") {
	case 0, 1, 2:
		return Choice{Target: "t"}
	case 3:
		m.seeking = false
		return Decline{Reason: ReasonOverload}
	case 4, 5:
		ran := rapid.SampledFrom([]Execution{MayHaveRun, DidNotRun, DidNotRun, DidRun}).Draw(m.t, "ran")
		m.hear(dispatch, ran == DidNotRun)
		return Failed{Try: dispatch, Stage: Stage(rapid.IntRange(1, 9).Draw(m.t, "stage")), Ran: ran, Replay: rapid.Bool().Draw(m.t, "replay")}
	case 6:
		shed := rapid.Bool().Draw(m.t, "shed")
		m.hear(dispatch, shed)
		return Head{Try: dispatch, Status: rapid.SampledFrom([]int{200, 503}).Draw(m.t, "status"), Shed: shed, Replay: true}
	case 7:
		return hedge{}
	default:
		return rapid.SampledFrom([]any{expire{}, leave{}, End{Try: dispatch}}).Draw(m.t, "end")
	}
}

// record stores the first result of a dispatch and ignores later ones.
func (m *model) hear(dispatch int, notRun bool) {
	if dispatch < 0 || dispatch >= len(m.flights) || m.flights[dispatch].ended {
		return
	}
	m.flights[dispatch].ended = true
	m.flights[dispatch].mayHaveRun = !notRun
}

// For any events in any order: a caller gets exactly one response. A request that isn't
// idempotent is dispatched again only if no earlier dispatch can have run, and the outcome
// not-run is reported only in that case. A request ends when its dispatches have ended.
func TestLifecycleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := New(Config{Tries: MaxTries, Budget: rich(8)})
		m := &model{t: t, call: &call, arrival: Arrival{
			Deadline:   start.Add(time.Second),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Hedge:      time.Millisecond,
		}}
		m.take(call.Arrive(start, m.arrival))
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			m.take(call.apply(now, m.event()))
		}
		for i := range m.flights {
			m.hear(i, false)
			m.take(call.Fail(now, Failed{Try: i}))
		}
		m.seeking = false
		m.take(call.Decline(now, Decline{Reason: ReasonOverload}))
		m.check(m.answers == 1, "no response")
		for i, f := range m.flights {
			m.check(f.ended || f.cancelled, "dispatch left in flight "+string(rune('0'+i)))
		}
	})
}
