package call

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// fullBudget returns a budget that allows n extra dispatches of each kind.
func fullBudget(n int) *Budget {
	b := NewBudget(BudgetConfig{RetryShare: 1, Levels: 1})
	for range 2 * n {
		b.CountFirst(0, 0)
	}
	return b
}

// step is one event; now is milliseconds after the arrival.
type step struct {
	now   int
	event any
}

type (
	hedge      struct{}
	expire     struct{}
	callerLeft struct{}
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
	case ResponseHead:
		return c.ReceiveHead(now, e)
	case ResponseEnd:
		c.ReceiveEnd(now, e)
	case hedge:
		return c.Hedge(now)
	case expire:
		return c.Expire(now)
	case callerLeft:
		return c.CallerLeft(now)
	}
	return acts
}

func kindNames(acts Actions) string {
	var out []string
	for _, a := range acts.All() {
		out = append(out, a.Kind.String())
	}
	return strings.Join(out, " ")
}

// A caller gets the outcome not-run only if its request can't have run. Each case fails
// a request at a different point, with the events in the order in which an entry receives
// them, and lists the outcome that the caller gets.
func TestOutcome(t *testing.T) {
	deadline := start.Add(100 * time.Millisecond)
	nonIdempotent := Arrival{Deadline: deadline}
	idempotent := Arrival{Deadline: deadline, Idempotent: true, HedgeDelay: 10 * time.Millisecond}
	notRun := func(dispatch int, s Stage) Failed {
		return Failed{Dispatch: dispatch, Stage: s, Execution: DidNotRun, Replayable: true}
	}
	mayHaveRun := func(dispatch int, s Stage) Failed { return Failed{Dispatch: dispatch, Stage: s, Replayable: true} }
	tests := []struct {
		name    string
		steps   []step
		acts    string // of the last step
		state   State
		outcome Outcome
		reason  Reason
	}{
		{"expired on arrival", []step{{99, nonIdempotent}}, "refuse", Refused, NotRun, ReasonDeadline},
		{"quarantined", []step{{0, Arrival{Deadline: deadline, QuarantineRemaining: time.Second}}}, "refuse", Refused, NotRun, ReasonQuarantined},
		{"queue full", []step{{0, nonIdempotent}, {0, Decline{Reason: ReasonOverload}}}, "refuse", Refused, NotRun, ReasonOverload},
		{"timeout in queue", []step{{0, nonIdempotent}, {100, expire{}}}, "withdraw refuse", Refused, NotRun, ReasonDeadline},
		{"target assigned too late", []step{{0, nonIdempotent}, {99, Choice{"a"}}}, "release refuse", Refused, NotRun, ReasonDeadline},
		{"caller disconnects while queued", []step{{0, nonIdempotent}, {5, callerLeft{}}}, "withdraw refuse", Refused, NotRun, ReasonCancelled},
		{"target assigned after the end", []step{{0, nonIdempotent}, {5, callerLeft{}}, {6, Choice{"a"}}}, "release", Refused, NotRun, ReasonCancelled},
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
		{"shed", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, ResponseHead{Status: 503, Shed: true, Replayable: true}}}, "cancel acquire", Queued, NotRun, ""},
		{"shed after the body was read", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, ResponseHead{Status: 503, Shed: true}}}, "cancel refuse", Refused, NotRun, ReasonShed},
		{"unavailable, not marked as shed", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, ResponseHead{Status: 503, Replayable: true}}}, "answer", Answered, Ran, ""},
		{"reset after the write", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, mayHaveRun(0, StageSent)}}, "refuse", GivenUp, Unknown, ReasonReset},
		{"refused, then reset", []step{
			{0, nonIdempotent}, {0, Choice{"a"}}, {1, notRun(0, StageRefused)}, {1, Choice{"b"}}, {2, mayHaveRun(1, StageSent)},
		}, "refuse", GivenUp, Unknown, ReasonReset},
		{"response cut after status 200", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {1, Failed{Stage: StageCut, Execution: DidRun, Replayable: true}}}, "refuse", GivenUp, Ran, ReasonCut},
		{"timeout at the target", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {100, expire{}}}, "cancel refuse", GivenUp, Unknown, ReasonTimeout},
		{"timeout while connecting", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {50, notRun(0, StageTimeout)}}, "refuse", Refused, NotRun, ReasonTimeout},
		{"late response", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {100, expire{}}, {101, ResponseHead{Status: 200}}}, "cancel", GivenUp, Unknown, ReasonTimeout},
		{"caller disconnects during a dispatch", []step{{0, nonIdempotent}, {0, Choice{"a"}}, {5, callerLeft{}}}, "cancel refuse", GivenUp, Unknown, ReasonCancelled},
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
		{"idempotent, reset, quarantined", []step{{0, idempotent}, {0, Choice{"a"}}, {1, Failed{Stage: StageSent, Replayable: true, Quarantined: true}}}, "refuse", GivenUp, Unknown, ReasonQuarantined},
		{"trial, reset", []step{{0, Arrival{Deadline: deadline, Idempotent: true, Trial: true}}, {0, Choice{"a"}}, {1, mayHaveRun(0, StageSent)}}, "refuse", GivenUp, Unknown, ReasonReset},
		{"trial, slow", []step{{0, Arrival{Deadline: deadline, Idempotent: true, Trial: true, HedgeDelay: 10 * time.Millisecond}}, {0, Choice{"a"}}, {20, hedge{}}}, "", Dispatched, Unknown, ""},
		{"idempotent, unavailable", []step{{0, idempotent}, {0, Choice{"a"}}, {1, ResponseHead{Status: 503, Replayable: true}}}, "cancel acquire", Queued, Unknown, ""},
		{"hedge wins", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {10, Choice{"b"}}, {12, ResponseHead{Dispatch: 1, Status: 200}}}, "cancel answer", Answered, Ran, ""},
		{"hedge loses", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {10, Choice{"b"}}, {12, ResponseHead{Status: 200}}, {13, ResponseHead{Dispatch: 1, Status: 200}}}, "cancel", Answered, Ran, ""},
		{"response while the hedge is pending", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {12, ResponseHead{Status: 200}}}, "withdraw answer", Answered, Ran, ""},
		{"first fails, hedge continues", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {10, Choice{"b"}}, {12, mayHaveRun(0, StageSent)}}, "", Dispatched, Unknown, ""},
		{"first fails while the hedge is pending", []step{{0, idempotent}, {0, Choice{"a"}}, {10, hedge{}}, {12, mayHaveRun(0, StageSent)}, {12, Decline{Reason: ReasonOverload}}}, "refuse", GivenUp, Unknown, ReasonReset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			call := New(Config{Budget: fullBudget(4)})
			var acts Actions
			for _, s := range tt.steps {
				acts = call.apply(start.Add(time.Duration(s.now)*time.Millisecond), s.event)
			}
			c.Assert(kindNames(acts), qt.Equals, tt.acts)
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
func TestAttemptPropagation(t *testing.T) {
	tests := []struct {
		attempt int
		event   any
		want    int
	}{
		{0, Failed{Stage: StageRefused, Execution: DidNotRun, Replayable: true}, 0},
		{0, Failed{Stage: StageSent, Replayable: true}, 1},
		{0, ResponseHead{Status: 503, Replayable: true}, 1},
		{0, ResponseHead{Status: 503, Shed: true, Replayable: true}, 0},
		{0, hedge{}, 1},
		{2, Failed{Stage: StageRefused, Execution: DidNotRun, Replayable: true}, 2},
	}
	for _, tt := range tests {
		c := qt.New(t)
		call := New(Config{Budget: fullBudget(4)})
		call.Arrive(start, Arrival{Deadline: start.Add(time.Second), Idempotent: true, Attempt: tt.attempt})
		acts := call.Choose(start, Choice{"a"})
		c.Assert(acts.All()[0].Attempt, qt.Equals, tt.attempt)
		call.apply(start, tt.event)
		acts = call.Choose(start, Choice{"b"})
		c.Assert(kindNames(acts), qt.Equals, "dispatch", qt.Commentf("%+v", tt))
		c.Assert(acts.All()[0].Attempt, qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}
}

// modelDispatch is the modelled state of one dispatch.
type modelDispatch struct {
	ended, cancelled, mayHaveRun bool
}

// model tracks the actions of a Call and checks the invariants after each event.
type model struct {
	t          *rapid.T
	call       *Call
	arrival    Arrival
	dispatches []modelDispatch
	pending    bool
	responses  int
}

func (m *model) apply(acts Actions) {
	for _, a := range acts.All() {
		switch a.Kind {
		case ActionAcquire, ActionAcquireHedge:
			m.check(!m.pending, "a second target is pending")
			m.pending = true
		case ActionWithdraw, ActionRelease:
			m.pending = false
		case ActionDispatch:
			m.pending = false
			m.dispatched()
		case ActionCancel:
			m.dispatches[a.Dispatch].cancelled = true
		case ActionRespond:
			m.responses++
			m.check(!m.dispatches[a.Dispatch].cancelled, "response of a cancelled dispatch")
		case ActionRefuse:
			m.responses++
			for _, f := range m.dispatches {
				m.check(m.call.Final().Outcome != NotRun || !f.mayHaveRun, "outcome not-run, but a dispatch may have run")
			}
		}
	}
	m.check(m.responses <= 1, "two responses")
	m.check(m.call.State().Final() == (m.responses == 1), "final without a response, or a response before the final state")
	if m.call.State().Final() {
		m.check(!m.pending, "a target is still pending in a final state")
	}
}

// dispatched checks that a non-idempotent request runs once, then adds the dispatch.
func (m *model) dispatched() {
	for _, f := range m.dispatches {
		m.check(m.arrival.Idempotent || !f.mayHaveRun, "non-idempotent request dispatched again after it may have run")
	}
	m.dispatches = append(m.dispatches, modelDispatch{mayHaveRun: true})
	m.check(len(m.dispatches) <= MaxDispatches, "too many dispatches")
}

func (m *model) check(ok bool, what string) {
	if !ok {
		m.t.Fatalf("%s", what)
	}
}

// event draws any event, including late, duplicate and out-of-order ones.
func (m *model) event() any {
	dispatch := rapid.IntRange(-1, MaxDispatches).Draw(m.t, "try")
	switch rapid.IntRange(0, 8).Draw(m.t, "event") {
	case 0, 1, 2:
		return Choice{Target: "t"}
	case 3:
		m.pending = false
		return Decline{Reason: ReasonOverload}
	case 4, 5:
		ran := rapid.SampledFrom([]Execution{MayHaveRun, DidNotRun, DidNotRun, DidRun}).Draw(m.t, "ran")
		m.record(dispatch, ran == DidNotRun)
		return Failed{Dispatch: dispatch, Stage: Stage(rapid.IntRange(1, 9).Draw(m.t, "stage")), Execution: ran, Replayable: rapid.Bool().Draw(m.t, "replay")}
	case 6:
		shed := rapid.Bool().Draw(m.t, "shed")
		m.record(dispatch, shed)
		return ResponseHead{Dispatch: dispatch, Status: rapid.SampledFrom([]int{200, 503}).Draw(m.t, "status"), Shed: shed, Replayable: true}
	case 7:
		return hedge{}
	default:
		return rapid.SampledFrom([]any{expire{}, callerLeft{}, ResponseEnd{Dispatch: dispatch}}).Draw(m.t, "end")
	}
}

// record stores the first result of a dispatch and ignores later ones.
func (m *model) record(dispatch int, notRun bool) {
	if dispatch < 0 || dispatch >= len(m.dispatches) || m.dispatches[dispatch].ended {
		return
	}
	m.dispatches[dispatch].ended = true
	m.dispatches[dispatch].mayHaveRun = !notRun
}

// For any events in any order: a caller gets exactly one response. A request that isn't
// idempotent is dispatched again only if no earlier dispatch can have run, and the outcome
// not-run is reported only in that case. A request ends when its dispatches have ended.
func TestLifecycleProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := New(Config{MaxDispatches: MaxDispatches, Budget: fullBudget(8)})
		m := &model{t: t, call: &call, arrival: Arrival{
			Deadline:   start.Add(time.Second),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			HedgeDelay: time.Millisecond,
		}}
		m.apply(call.Arrive(start, m.arrival))
		now := start
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			m.apply(call.apply(now, m.event()))
		}
		for i := range m.dispatches {
			m.record(i, false)
			m.apply(call.Fail(now, Failed{Dispatch: i}))
		}
		m.pending = false
		m.apply(call.Decline(now, Decline{Reason: ReasonOverload}))
		m.check(m.responses == 1, "no response")
		for i, f := range m.dispatches {
			m.check(f.ended || f.cancelled, "dispatch left in flight "+string(rune('0'+i)))
		}
	})
}
