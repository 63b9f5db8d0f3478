package gateway

import (
	"context"
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/slot"
)

// checkSuspicion returns whether the request is in quarantine or held. If a trial of it is due, it
// becomes that. Most requests need no fingerprint, since none is suspected.
func (q *request) checkSuspicion(now time.Time) (h call.Hold) {
	s := q.gateway.suspects
	if !q.trial.IsZero() || s.Empty() {
		return h
	}
	f := q.fingerprints()
	if h.Remaining = f.quarantineRemaining(s, now); h.Remaining > 0 {
		return h
	}
	rank := func() int {
		return q.gateway.view.Load().trialRank(q.service.senderNames(), f.content, q.gateway.self.Name)
	}
	if h = f.hold(s, now, rank); !h.Trial {
		return h
	}
	if h.Remaining = f.beginTrial(s, now); h.Remaining > 0 {
		return h
	}
	q.trial = now
	fields := q.logFields()
	fields["print"] = f.text()
	q.gateway.log.WithFields(fields).Info("request is sent as a trial")
	return h
}

const (
	// maxTrialWait bounds the wait for the result of a trial. While targets recover, a trial waits
	// for one itself.
	maxTrialWait = time.Second
	// trialPoll is the time between two looks for it.
	trialPoll = 20 * time.Millisecond
)

// awaitTrial waits while the result of a trial may free the request in a moment.
func (q *request) awaitTrial(now, deadline time.Time) {
	until := now.Add(min(maxTrialWait, deadline.Sub(now)))
	for now.Before(until) && q.checkSuspicion(now).Wait {
		select {
		case <-time.After(trialPoll):
		case <-q.gateway.giveUp:
			return
		case <-q.r.Context().Done():
			return
		}
		now = time.Now()
	}
}

// heldMeanwhile returns how much longer a request is held that gets a target after it has waited, or
// after another dispatch. One that targets have answered before isn't: it has been in the queue for
// as long as the targets failed.
func (q *request) heldMeanwhile(now time.Time) time.Duration {
	h := q.checkSuspicion(now)
	if h.Answered {
		return 0
	}
	return h.Remaining
}

// maxSkipped is how many targets a trial passes over because they answer no check.
const maxSkipped = 2

// maySkip reports whether the trial may pass over one more target. Most of the targets are left, as they may
// be slow to answer checks.
func (q *request) maySkip() bool {
	skipped := len(q.skipped) + 1
	return skipped <= maxSkipped && 2*skipped < q.service.targetCount()
}

// answersCheck reports whether the target of a trial answers a health check.
func (q *request) answersCheck(now time.Time, t slot.Target) bool {
	ctx, cancel := context.WithTimeout(q.r.Context(), min(endCheckTimeout, q.deadline().Sub(now)/4))
	defer cancel()
	return q.gateway.askHealth(ctx, t, q.service.healthPath()) == targetLives
}

// trialRank returns the rank of this entry among those that send trials of a request: first the
// senders, to which callers send requests for its service, then the others. An isolated entry doesn't
// know the others, and takes one of as many ranks as the store has records of entries.
func (v *view) trialRank(senders []string, fingerprint uint64, self string) int {
	task := call.TrialTask(fingerprint)
	if v.isolated {
		return owner.Slot(task, self, v.known+1)
	}
	if slices.Contains(senders, self) {
		return owner.RankAmong(senders, task, self)
	}
	return len(senders) + owner.Rank(v.live, task, self)
}

// senderNames returns the names of the entries that send requests to the service.
func (s *service) senderNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.senders
}
