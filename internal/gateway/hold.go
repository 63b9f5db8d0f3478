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
	rank := func() int {
		return q.gateway.view.Load().trialRank(q.service.senderNames(), f.content, q.gateway.self.Name)
	}
	remaining, trial := f.hold(s, now, rank)
	if !trial {
		return remaining
	}
	if remaining = f.beginTrial(s, now); remaining > 0 {
		return remaining
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
