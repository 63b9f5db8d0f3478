package call

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FailedDispatch is a dispatch that got no complete response.
type FailedDispatch struct {
	Target string // unique to the target's incarnation
	Stage  Stage
	Began  time.Time
	// Silent reports whether the target was silent all the while. Stage may be 0 then, as the
	// dispatch may still be in flight.
	Silent bool
	// Trial is when BeginTrial reserved the dispatch as a trial of a held request; zero for all others.
	Trial time.Time
	// Alive reports whether this is a trial whose target answered a check just before.
	Alive bool
	// Content is the fingerprint of the request's content. A request whose content was answered before
	// its first failure is held for shorter times.
	Content uint64
	// Checked reports whether the caller finds out if the target has ended, and then calls
	// ConfirmCrash, ConfirmTrial or DismissCrash.
	Checked bool
}

// TrialRecheck is how long after a failed trial its target is checked once more. A process that ends may
// go on answering for a moment.
const TrialRecheck = time.Second

// Crashed reports whether the trial counts as a crash, by whether its target answers a check after it,
// and whether others do then. If none does, connections may have been lost between the checks.
func (d FailedDispatch) Crashed(answers bool, othersAnswer func() bool) bool {
	return d.Alive && !answers && othersAnswer()
}

// RecordFailure records a failed dispatch and reports whether the request is held or in quarantine
// now. A response that breaks off shows that the target was running this request, and counts as a crash
// unless the target is checked.
func (s *Suspects) RecordFailure(now time.Time, fp uint64, d FailedDispatch) bool {
	if !d.Silent && !d.Stage.MayBeCrash() {
		return false
	}
	if d.Stage == StageCut && !d.Checked {
		return s.RecordCrash(now, fp, d.Target, d.Began)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := s.lastAnswer(now, d.Content)
	if d.Silent && answered.After(d.Began) {
		return false // it is noticed late, and an answer has come since
	}
	x := s.detach(now, fp)
	if d.Checked {
		x.addBreak(connectionBreak{xxhash.Sum64String(d.Target), d.Began, now, d.Alive && x.streak.held})
	}
	at := now
	if d.Silent {
		at = d.Began // a dispatch that began later is another failure
	}
	x.streak.noteAnswered(answered)
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

// Hold is what becomes of a request that several targets in a row didn't answer. The zero value lets
// it be sent.
type Hold struct {
	Remaining time.Duration // until its next trial
	Trial     bool          // it may be sent as a trial, once BeginTrial has reserved that
	Answered  bool          // targets have answered it before
	Wait      bool          // it may be free in a moment, by the result of a trial
}

// Hold returns whether a request is held. rank returns this entry's rank among those that send
// trials, from 0; it is called only where that matters.
func (s *Suspects) Hold(now time.Time, fp uint64, rank func() int) Hold {
	if s.size.Load() == 0 {
		return Hold{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.known(now, fp)
	if x == nil || !x.streak.held {
		return Hold{}
	}
	h := x.streak.until(now, x.streak.nextTrial(now, rank))
	h.Answered = x.streak.answered
	h.Wait = h.Answered && h.Remaining > 0 && now.Before(x.streak.trialUntil)
	return h
}

// HoldByHeaders is like Hold, for a fingerprint that includes headers. It holds a request only if one
// with the same content was answered since its own first failure: else the content is held. Then this
// entry goes by its own dispatches, as peers that are cut off from targets report sound requests too.
func (s *Suspects) HoldByHeaders(now time.Time, fp, content uint64) Hold {
	if s.size.Load() == 0 {
		return Hold{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.known(now, fp)
	if x == nil || len(x.streak.own) < s.cfg.CrashLimit || !s.lastAnswer(now, content).After(x.streak.since()) {
		return Hold{}
	}
	return x.streak.until(now, x.streak.ownLast.Add(x.streak.pause(now, x.streak.ownTrials)))
}

// until returns the hold until the next trial.
func (k *streak) until(now, trial time.Time) Hold {
	switch left := trial.Sub(now); {
	case left > 0:
		return Hold{Remaining: left}
	case now.Before(k.trialUntil):
		return Hold{Remaining: trialWait}
	}
	return Hold{Trial: true}
}

// lastAnswer returns when a request was last answered, at this entry or as others reported; zero
// if that is unknown. The caller holds the lock.
func (s *Suspects) lastAnswer(now time.Time, fp uint64) time.Time {
	at := s.answers.last(now, fp)
	if x := s.known(now, fp); x != nil && x.cleared {
		at = latest(at, x.lastEvent)
	}
	return at
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

// EndTrial records that the trial reserved at a time has ended. It counts as unanswered if it was
// dispatched and its result hasn't been recorded.
func (s *Suspects) EndTrial(now time.Time, fp uint64, reserved time.Time, dispatched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.known(now, fp)
	if x != nil && x.streak.endTrial(reserved) && dispatched {
		x.streak.countTrial(now)
		x.streak.last, x.streak.ownLast = now, now
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
