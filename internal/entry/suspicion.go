package entry

import (
	"context"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
)

// checkSuspicion returns whether a request is in quarantine or held, and the reservation if it may be
// sent as a trial.
func (e *Entry) checkSuspicion(now time.Time, fingerprint uint64) (h call.Hold, trial time.Time) {
	s := e.suspects
	if h.Remaining = s.QuarantineRemaining(now, fingerprint); h.Remaining > 0 {
		return h, trial
	}
	if h = s.Hold(now, fingerprint, func() int { return e.trialRank(fingerprint) }); !h.Trial {
		return h, trial
	}
	if h.Remaining = s.BeginTrial(now, fingerprint); h.Remaining > 0 {
		return h, trial
	}
	return h, now
}

const (
	// maxTrialWait bounds the wait for the result of a trial.
	maxTrialWait = time.Second
	// trialPoll is the time between two looks for it.
	trialPoll = 20 * time.Millisecond
)

// awaitTrial returns checkSuspicion, once the result of a trial can't free the request in a moment
// any more.
func (e *Entry) awaitTrial(ctx context.Context, now time.Time, fingerprint uint64) (h call.Hold, trial time.Time) {
	until := now.Add(maxTrialWait)
	h, trial = e.checkSuspicion(now, fingerprint)
	for h.Wait && now.Before(until) {
		select {
		case <-time.After(trialPoll):
		case <-ctx.Done():
			return h, trial
		}
		now = time.Now()
		h, trial = e.checkSuspicion(now, fingerprint)
	}
	return h, trial
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

// checkTimeout bounds the probe of a target that has left a request unanswered, or may get a trial.
const checkTimeout = 300 * time.Millisecond

// answersCheck reports whether a target answers a probe.
func (e *Entry) answersCheck(ctx context.Context, timeout time.Duration, target, probePath string) bool {
	ctx, cancel := context.WithTimeout(ctx, min(timeout, checkTimeout))
	defer cancel()
	_, ok := e.prober.send(ctx, "http://"+target+probePath)
	return ok
}

// maxOthersAsked is how many targets are asked to tell one that has ended from lost connections.
const maxOthersAsked = 3

// checkTrial finds out whether the target of a failed trial has ended.
func (e *Entry) checkTrial(fingerprint uint64, s *service, d call.FailedDispatch) {
	answers := func(target string) bool {
		return e.answersCheck(context.Background(), checkTimeout, target, s.policy.Load().ProbePath)
	}
	othersAnswer := func() bool { return slices.ContainsFunc(s.otherTargets(d.Target, maxOthersAsked), answers) }
	crashed := d.Crashed(answers(d.Target), othersAnswer)
	if !crashed {
		time.Sleep(call.TrialRecheck)
		crashed = d.Crashed(answers(d.Target), othersAnswer)
	}
	if !crashed {
		e.suspects.DismissCrash(fingerprint, d.Target)
		return
	}
	e.suspects.ConfirmTrial(time.Now(), fingerprint, d.Target)
	e.announceSuspect(fingerprint)
}

// recordIfSilent records a dispatch that has timed out as unanswered, if its target answers no
// probe either.
func (e *Entry) recordIfSilent(fingerprint uint64, s *service, d call.FailedDispatch) {
	if e.answersCheck(context.Background(), checkTimeout, d.Target, s.policy.Load().ProbePath) {
		return
	}
	now := time.Now()
	d.Silent = true
	e.suspects.RecordFailure(now, fingerprint, d)
	e.announceSuspect(fingerprint)
	if d.Checked {
		e.checkTrial(fingerprint, s, d)
	}
}
