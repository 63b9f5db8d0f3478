package call

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a target without a listener that uses up the dispatches of a request, which others
// could run.
func TestUnsentDispatchesDontCount(t *testing.T) {
	tests := []struct {
		name      string
		limit     int
		trial     bool
		failures  []Failed
		again     bool // another target is asked for
		exhausted bool // the budget has no token
	}{
		{"refused", 1, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}}, true, false},
		{"no connection", 1, false, []Failed{{Stage: StageConnect, Execution: DidNotRun}}, true, false},
		{"nothing written", 1, false, []Failed{{Stage: StageUnsent, Execution: DidNotRun}}, true, false},
		{"refused twice", 1, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}, {Stage: StageRefused, Execution: DidNotRun}}, true, false},
		{"refused three times", 1, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}, {Stage: StageRefused, Execution: DidNotRun}, {Stage: StageRefused, Execution: DidNotRun}}, false, false},
		{"refused three times, of four", 4, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}, {Stage: StageRefused, Execution: DidNotRun}, {Stage: StageRefused, Execution: DidNotRun}}, true, false},
		{"refused without budget", 1, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}}, false, true},
		{"sent", 1, false, []Failed{{Stage: StageSent}}, false, false},
		{"refused, then sent", 1, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}, {Stage: StageSent}}, false, false},
		{"refused, then sent, of two", 2, false, []Failed{{Stage: StageRefused, Execution: DidNotRun}, {Stage: StageSent}}, true, false},
		{"sent twice, of two", 2, false, []Failed{{Stage: StageSent}, {Stage: StageSent}}, false, false},
		{"shed by its report", 1, false, []Failed{{Stage: StageInvalid, Execution: DidNotRun}}, false, false},
		{"trial", 1, true, []Failed{{Stage: StageRefused, Execution: DidNotRun}}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			budget := fullBudget(8)
			if tt.exhausted {
				budget = nil
			}
			call := New(Config{MaxDispatches: tt.limit, Budget: budget})
			acts := call.Arrive(start, Arrival{Deadline: start.Add(time.Second), Idempotent: true, Trial: tt.trial})
			for i, f := range tt.failures {
				c.Assert(kindNames(acts), qt.Equals, "acquire")
				acts = call.Choose(start, Choice{Target: string(rune('a' + i))})
				f.Dispatch, f.Replayable = i, true
				acts = call.Fail(start, f)
			}
			c.Assert(kindNames(acts) == "acquire", qt.Equals, tt.again)
		})
	}
}
