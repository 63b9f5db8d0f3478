package entry

import (
	"context"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
)

// checkSuspicion returns how much longer a request is in quarantine or held, or whether it may be
// sent as a trial, which is then reserved.
func (e *Entry) checkSuspicion(now time.Time, fingerprint uint64) (remaining time.Duration, trial bool) {
	s := e.suspects
	if s.Empty() {
		return 0, false
	}
	if remaining = s.QuarantineRemaining(now, fingerprint); remaining > 0 {
		return remaining, false
	}
	rank := func() int { return e.trialRank(fingerprint) }
	if remaining, trial = s.Hold(now, fingerprint, false, rank, s.LastAnswer(now, fingerprint)); trial {
		remaining = s.BeginTrial(now, fingerprint)
	}
	return remaining, trial && remaining == 0
}

// trialRank returns the rank of this entry among those that send trials of a request.
func (e *Entry) trialRank(fingerprint uint64) int {
	var names []string
	for _, m := range e.members.Serving() {
		names = append(names, m.ID.Name)
	}
	return owner.RankAmong(names, call.TrialTask(fingerprint), e.cfg.File.Name)
}

// recordAnswer records that a target has answered a request with a status.
func (e *Entry) recordAnswer(now time.Time, fingerprint uint64, status int) {
	if !call.ClearsSuspicion(status) {
		return
	}
	e.suspects.NoteAnswer(now, fingerprint)
	if e.suspects.RecordResponse(now, fingerprint) {
		go e.announceSuspect(fingerprint)
	}
}

// silenceCheckTimeout bounds the probe of a target that has left a request unanswered.
const silenceCheckTimeout = 300 * time.Millisecond

// recordIfSilent records a dispatch that has timed out as unanswered, if its target answers no
// probe either.
func (e *Entry) recordIfSilent(fingerprint uint64, probePath string, d call.FailedDispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
	defer cancel()
	if _, ok := e.prober.send(ctx, "http://"+d.Target+probePath); ok {
		return
	}
	now := time.Now()
	d.Silent, d.Answered = true, e.suspects.LastAnswer(now, fingerprint)
	e.suspects.RecordFailure(now, fingerprint, d)
	e.announceSuspect(fingerprint)
}
