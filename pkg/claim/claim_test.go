package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/call"
)

// A key with a record never lets its request run again, regardless of the record's
// content and age.
func TestResolveExisting(t *testing.T) {
	now := time.Unix(1000, 0)
	ran := &Response{Outcome: call.Ran, Status: 201, Complete: true}
	tests := []struct {
		name  string
		found Record
		want  Result
	}{
		{"another request", Record{Fingerprint: 2, Response: ran}, Result{Kind: Conflict, Reason: ReasonKeyReused}},
		{"ran", Record{Fingerprint: 1, Response: ran}, Result{Kind: Replay, Response: *ran}},
		{"ran, response not recorded", Record{Fingerprint: 1, Response: &Response{Outcome: call.Ran}}, Result{Kind: Replay, Reason: ReasonNotRecorded, Response: Response{Outcome: call.Ran}}},
		{"outcome unknown", Record{Fingerprint: 1, Response: &Response{Outcome: call.Unknown}}, Result{Reason: ReasonRunUnknown}},
		{"running", Record{Fingerprint: 1, DispatchDeadline: now}, Result{Reason: ReasonInProgress, RetryAfter: RetryDelay}},
		{"dispatch deadline passed", Record{Fingerprint: 1, DispatchDeadline: now.Add(-time.Second)}, Result{Reason: ReasonRunUnknown}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, ResolveExisting(now, tt.found, 1), qt.DeepEquals, tt.want)
		})
	}
}

func TestFinish(t *testing.T) {
	tests := []struct {
		name     string
		ended    RunResult
		want     Kind
		recorded bool
	}{
		{"ran", RunResult{Outcome: call.Ran}, Fresh, true},
		{"unknown", RunResult{Outcome: call.Unknown}, Uncertain, true},
		{"not run", RunResult{Outcome: call.NotRun}, NotRun, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, recorded := Finish(tt.ended)
			qt.Assert(t, r.Kind, qt.Equals, tt.want)
			qt.Assert(t, recorded != nil, qt.Equals, tt.recorded)
		})
	}
}
