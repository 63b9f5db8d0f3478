package pool

import "time"

const (
	shedCooldown    = 5 * time.Millisecond
	maxShedCooldown = 100 * time.Millisecond
)

// applyOutcome updates the health of m from the end of dispatch d.
func (p *Pool[P]) applyOutcome(m *Member, d dispatch, outcome Outcome) {
	m.lastResponse = p.now
	if p.cfg.IgnoreOutcomes {
		return
	}
	took := p.now - d.start
	good := false
	m.maybeGone = outcome == ConnectFailed || outcome == ConnectionLost || outcome == TimedOut
	switch outcome {
	case Served:
		good = p.applyServed(m, took)
	case Failed:
		p.addFail(m, true)
	case Shed:
		p.applyShed(m)
	case ConnectFailed, ConnectionLost:
		p.addConnectionLoss(m)
	case TimedOut:
		m.addLatency(p.now, &p.latencies, took, false)
		p.addFail(m, true)
	case Cancelled:
		good = m.addLatency(p.now, &p.latencies, took, false) <= badTrialChange
	}
	p.updateEjection(m, good)
}

// applyServed updates m after a served request, and reports whether the response time
// counts in favor of m.
func (p *Pool[P]) applyServed(m *Member, took time.Duration) (good bool) {
	m.consecutiveSheds = 0
	m.served++
	m.learnedLimit = min(m.learnedLimit+1/m.learnedLimit, float64(m.Slots))
	if !m.ejected && m.warmedUp(&p.cfg) {
		p.latencies.add(took)
	}
	change := 0.0
	if m.warmedUp(&p.cfg) {
		change = m.addLatency(p.now, &p.latencies, took, true)
	}
	p.addFail(m, false)
	return change <= badTrialChange
}

// applyShed pauses new requests to a target for a time that doubles with each
// consecutive shed, up to maxShedCooldown.
func (p *Pool[P]) applyShed(m *Member) {
	m.consecutiveSheds++
	m.learnedLimit = max(float64(len(m.dispatches)), 1)
	m.cooldownUntil = p.now + min(shedCooldown<<min(m.consecutiveSheds-1, 8), maxShedCooldown)
	if m.consecutiveSheds >= shedsAsFailure {
		p.addFail(m, true)
	}
}

// applyLoad processes a target's report of its load. The reported number of requests
// gives the estimate of those from other entries: own is the number of this entry.
func (p *Pool[P]) applyLoad(m *Member, l Load, own int, out []Action) []Action {
	if l.Leaving && !m.excluded {
		p.setLeaving(m)
		out = append(out, Action{Kind: NoteLeaving, Target: m.ID, Boot: m.Boot, Addr: m.Addr})
	}
	if l.HasInFlight {
		m.reportedOther = min(max(float64(l.InFlight-own), 0), float64(m.Slots))
		m.loadAt = p.now
	}
	return out
}
