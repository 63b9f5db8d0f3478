package pool

import "time"

// probeFirst is how much later a trial is due that a probe could clear before.
const probeFirst = time.Second

// trial returns a target that is due for a trial request. One that is suspected
// needs trials too: being used last, it may get nothing else, and its judgement
// would outlast its fault.
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

// doubted tells whether a trial could show something of the target.
func (m *Member) doubted() bool {
	switch {
	case m.left || m.trials > 0:
		return false
	case m.out:
		return true
	}
	return len(m.runs) == 0 && (m.slow > slowSuspect || m.fail > failSuspect)
}

// trialDue is when a trial request may be sent. A target whose connections
// failed is probed before, where there is a budget, so that no request has to
// find out that it is still gone.
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
