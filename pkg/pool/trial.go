package pool

import "time"

// probeHeadStart delays a trial so that a probe can check the target before.
const probeHeadStart = time.Second

// dueTrial returns a target that is due for a trial request, or nil. Suspected targets need
// trials too: as they are used last, they may get no other requests, and the evidence
// would outlast the fault. A request that isn't idempotent is used only after a further
// pause.
func (p *Pool[P]) dueTrial(a Arrival) *Member {
	if p.cfg.IgnoreOutcomes || a.Avoid != "" {
		return nil
	}
	for _, m := range p.members {
		if !m.needsTrial() || p.arrivals < m.nextTrialArrival {
			continue
		}
		at := p.trialDue(m)
		if p.now >= at && (a.Idempotent || p.now > at+max(m.trialPause, p.cfg.TrialMin)) {
			return m
		}
	}
	return nil
}

// needsTrial reports whether a trial can give information about the target.
func (m *Member) needsTrial() bool {
	switch {
	case m.excluded || m.trialsInFlight > 0:
		return false
	case m.ejected:
		return true
	}
	return len(m.dispatches) == 0 && (m.slowEvidence > suspectSlow || m.failEvidence > suspectFail)
}

// trialDue returns when a trial request may be sent. If there is a probe budget, a target
// that may be gone is probed first, so that no request is lost to it.
func (p *Pool[P]) trialDue(m *Member) (at time.Duration) {
	at = m.nextTrial
	if !m.ejected {
		at = m.lastResponse + p.cfg.TrialMin
	}
	if m.maybeGone && p.cfg.ProbeBudget != nil {
		at += probeHeadStart
	}
	return at
}
