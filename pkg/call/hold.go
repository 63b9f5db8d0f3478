package call

import (
	"net/http"
	"strconv"
	"time"
)

// FailedDispatch is a dispatch that got no complete response.
type FailedDispatch struct {
	Target string // unique to the target's incarnation
	Stage  Stage
	Began  time.Time
	// Silent reports whether the target was silent all the while. Stage may be 0 then, as the
	// dispatch may still be in flight.
	Silent bool
	// Trial reports whether the request was held, and sent as a trial.
	Trial bool
	// Answered is when a request of the same content was last answered, zero if never. A request
	// that was answered before its first failure is held for shorter times.
	Answered time.Time
	// Checked reports whether the caller finds out if the target has ended, and then calls
	// ConfirmCrash or DismissCrash.
	Checked bool
}

// RecordFailure records a failed dispatch and reports whether the request is held or in quarantine
// now. A response that breaks off shows that the target was running this request, and counts as a crash
// unless the target is checked.
func (s *Suspects) RecordFailure(now time.Time, fp uint64, d FailedDispatch) bool {
	if !d.Silent && !d.Stage.MayBeCrash() {
		return false
	}
	if d.Silent && d.Answered.After(d.Began) {
		return false // it is noticed late, and an answer has come since
	}
	if d.Stage == StageCut && !d.Checked {
		return s.RecordCrash(now, fp, d.Target, d.Began)
	}
	if d.Checked && !d.Silent {
		s.RecordBreak(now, fp, d.Target, d.Began)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.detach(now, fp)
	at := now
	if d.Silent {
		at = d.Began // a dispatch that began later is another failure
	}
	x.streak.noteAnswered(d.Answered)
	x.streak.add(at, d.Began, d.Trial, s.cfg.CrashLimit)
	if x.lastEvent.IsZero() {
		x.lastEvent = now
	}
	s.insert(x)
	return x.quarantined
}

// ClearsSuspicion reports whether a complete response with this status shows that a target has survived
// the request. One that gave up at its deadline might have crashed a moment later.
func ClearsSuspicion(status int) bool { return status != http.StatusGatewayTimeout }

// Hold returns how much longer a request is held; 0 if it isn't, or if it may be sent as a trial,
// once BeginTrial has reserved that. rank returns this entry's rank among those that send trials, from
// 0; it is called only for a held request.
// answered is when a request of the same content was last answered, zero if never. withHeaders is
// whether the fingerprint includes headers. If it does, and the answer came since the first unanswered
// dispatch, only requests with other headers may be sound: then this entry goes by its own
// dispatches, as peers that are cut off from targets report sound ones too.
func (s *Suspects) Hold(now time.Time, fp uint64, withHeaders bool, rank func() int, answered time.Time) (remaining time.Duration, trial bool) {
	if s.size.Load() == 0 {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.known(now, fp)
	if x == nil || !x.streak.held {
		return 0, false
	}
	alone := withHeaders && answered.After(x.streak.since())
	if alone && len(x.streak.own) < s.cfg.CrashLimit {
		return 0, false
	}
	next := time.Time{}
	if alone {
		next = x.streak.nextTrial(now, 0, x.streak.ownTrials, false)
	} else {
		next = x.streak.nextTrial(now, rank(), x.streak.trials, x.streak.answered)
	}
	if left := next.Sub(now); left > 0 {
		return left, false
	}
	if now.Before(x.streak.trialUntil) {
		return trialWait, false
	}
	return 0, true
}

// BeginTrial reserves the trial of a held request. It returns 0 if the request may be sent, which is
// so too if it isn't held any more, and otherwise when its caller may return.
func (s *Suspects) BeginTrial(now time.Time, fp uint64) (remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.known(now, fp)
	if x == nil || !x.streak.held {
		return 0
	}
	if now.Before(x.streak.trialUntil) {
		return trialWait
	}
	x.streak.trialUntil = now.Add(trialTimeout)
	return 0
}

// EndTrial records that a trial has ended. It counts as unanswered if it was dispatched and its
// result hasn't been recorded.
func (s *Suspects) EndTrial(now time.Time, fp uint64, dispatched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.known(now, fp)
	if x == nil || x.streak.trialUntil.IsZero() {
		return
	}
	x.streak.trialUntil = time.Time{}
	if dispatched {
		x.streak.countTrial(now)
		x.streak.last = now
	}
}

// known returns a fingerprint of the table that hasn't expired, or nil.
func (s *Suspects) known(now time.Time, fp uint64) *suspect {
	e := s.byFingerprint[fp]
	if e == nil {
		return nil
	}
	x := e.Value.(*suspect)
	if s.expired(now, x) {
		return nil
	}
	return x
}

// holdTime returns how long a request is held after its last unanswered dispatch, by its trials.
func (s *Suspects) holdTime(trials int) time.Duration {
	return max(holdPauses*longPause(trials), s.cfg.Quarantine)
}

// TrialTask names the trials of a request, to rank the entries that send them.
func TrialTask(fp uint64) string { return "trial " + strconv.FormatUint(fp, 36) }
