package gateway

import (
	"slices"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
)

// checkSuspicion returns how much longer the request is in quarantine or held; 0 if it may be sent,
// maybe as a trial. Most requests need no fingerprint, since none is suspected.
func (q *request) checkSuspicion(now time.Time) (remaining time.Duration) {
	s := q.gateway.suspects
	if s.Empty() {
		return 0
	}
	f := q.fingerprints()
	if remaining = f.quarantineRemaining(s, now); remaining > 0 {
		return remaining
	}
	remaining, trial := f.hold(s, now, q.gateway.view.Load().trialRank(q.service, f.content, q.gateway.self.Name))
	if !trial {
		return remaining
	}
	if !f.beginTrial(s, now) {
		return minHold
	}
	q.trial = true
	fields := q.logFields()
	fields["print"] = f.text()
	q.gateway.log.WithFields(fields).Info("request is sent as a trial")
	return 0
}

// heldMeanwhile is like checkSuspicion, for a request that gets a target after it has waited or
// after another dispatch. A trial isn't held.
func (q *request) heldMeanwhile(now time.Time) time.Duration {
	if q.trial {
		return 0
	}
	return q.checkSuspicion(now)
}

// minHold is when a caller may return whose request found another one's trial in progress.
const minHold = 250 * time.Millisecond

// trialRank returns the rank of this entry among those that send trials of a request: first those
// that callers send requests for the service to, then the others. An isolated entry doesn't know
// who they are. It takes one of as many ranks as the store has records of entries.
func (v *view) trialRank(s *service, fingerprint uint64, self string) int {
	task := call.TrialTask(fingerprint)
	if v.isolated {
		return owner.Slot(task, self, v.known+1)
	}
	senders := s.senderNames()
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
