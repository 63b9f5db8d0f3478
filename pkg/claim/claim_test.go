package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// A key with a record never lets its request run again, regardless of the record's
// content and age.
func TestMeet(t *testing.T) {
	now := time.Unix(1000, 0)
	ran := &Answer{Outcome: call.Ran, Status: 201, Whole: true}
	tests := []struct {
		name  string
		found Record
		want  Result
	}{
		{"another request", Record{Print: 2, Answer: ran}, Result{Kind: Conflict, Reason: ReasonKeyReused}},
		{"ran", Record{Print: 1, Answer: ran}, Result{Kind: Replay, Answer: *ran}},
		{"ran, response not recorded", Record{Print: 1, Answer: &Answer{Outcome: call.Ran}}, Result{Kind: Replay, Reason: ReasonNotKept, Answer: Answer{Outcome: call.Ran}}},
		{"outcome unknown", Record{Print: 1, Answer: &Answer{Outcome: call.Unknown}}, Result{Reason: ReasonRanUnknown}},
		{"running", Record{Print: 1, Until: now}, Result{Reason: ReasonInProgress, RetryAfter: RetrySoon}},
		{"dispatch deadline passed", Record{Print: 1, Until: now.Add(-time.Second)}, Result{Reason: ReasonRanUnknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, Meet(now, tt.found, 1), qt.DeepEquals, tt.want)
		})
	}
}

func TestFinish(t *testing.T) {
	tests := []struct {
		name     string
		ended    Ended
		want     Kind
		recorded bool
	}{
		{"ran", Ended{Outcome: call.Ran}, Fresh, true},
		{"unknown", Ended{Outcome: call.Unknown}, Uncertain, true},
		{"not run", Ended{Outcome: call.NotRun}, NotRun, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, recorded := Finish(tt.ended)
			qt.Assert(t, r.Kind, qt.Equals, tt.want)
			qt.Assert(t, recorded != nil, qt.Equals, tt.recorded)
		})
	}
}
