package pool

import "time"

// probeHeadStart delays a trial so that a probe can check the target before.
const probeFirst = time.Second

// dueTrial returns a target that is due for a trial request, or nil. Suspected targets need
// trials too: as they are used last, they may get no other requests, and the evidence
// would outlast the fault. A request that isn't idempotent is used only after a further
// pause.
func (p *Pool[P]) trial(a Arrival) *Member {
	if p.cfg.Blind || a.Avoid != "" {
		return nil
	}
	for _, m := range p.members {
		if !m.doubted() || p.arrivals < m.nextTry {
			continue
		}
		at := p.trialDue(m)
		if p.now >= at && (a.Idempotent || p.now > at+max(m.pause, p.cfg.TrialMin)) {
			return m
		}
	}
	return nil
}

// needsTrial reports whether a trial can give information about the target.
func (m *Member) doubted() bool {
	switch {
	case m.left || m.trials > 0:
		return false
	case m.out:
		return true
	}
	return len(m.runs) == 0 && (m.slow > slowSuspect || m.fail > failSuspect)
}

// trialDue returns when a trial request may be sent. If there is a probe budget, a target
// that may be gone is probed first, so that no request is lost to it.
func (p *Pool[P]) trialDue(m *Member) (at time.Duration) {
	at = m.trialAt
	if !m.out {
		at = m.answered + p.cfg.TrialMin
	}
	if m.unclear && p.cfg.Budget != nil {
		at += probeFirst
	}
	return at
}
