package pool

import "time"

const (
	shedPause    = 5 * time.Millisecond
	shedPauseMax = 100 * time.Millisecond
)

// applyOutcome updates the health of m from the end of dispatch r.
func (p *Pool[P]) take(m *Member, r run, outcome Kind) {
	m.answered = p.now
	if p.cfg.Blind {
		return
	}
	took := p.now - r.start
	good := false
	m.unclear = outcome == RefusedConn || outcome == Broken || outcome == TimedOut
	switch outcome {
	case Served:
		good = p.takeServed(m, took)
	case Failed:
		p.addFail(m, true)
	case Shed:
		p.takeShed(m)
	case RefusedConn, Broken:
		p.lost(m)
	case TimedOut:
		m.addSlow(p.now, &p.curve, took, false)
		p.addFail(m, true)
	case Cancelled:
		good = m.addSlow(p.now, &p.curve, took, false) <= trialBad
	}
	p.judge(m, good)
}

// applyServed updates m after a served request, and reports whether the response time
// counts in favor of m.
func (p *Pool[P]) takeServed(m *Member, took time.Duration) (good bool) {
	m.sheds = 0
	m.served++
	m.room = min(m.room+1/m.room, float64(m.Slots))
	if !m.out && m.warm(&p.cfg) {
		p.curve.add(took)
	}
	change := 0.0
	if m.warm(&p.cfg) {
		change = m.addSlow(p.now, &p.curve, took, true)
	}
	p.addFail(m, false)
	return change <= trialBad
}

// applyShed pauses new requests to a target for a time that doubles with each
// consecutive shed, up to maxShedCooldown.
func (p *Pool[P]) takeShed(m *Member) {
	m.sheds++
	m.room = max(float64(len(m.runs)), 1)
	m.blocked = p.now + min(shedPause<<min(m.sheds-1, 8), shedPauseMax)
	if m.sheds >= shedsOut {
		p.addFail(m, true)
	}
}

// applyLoad processes a target's report of its load. The reported number of requests
// gives the estimate of those from other entries: own is the number of this entry.
func (p *Pool[P]) report(m *Member, l Load, own int, out []Action) []Action {
	if l.Leaving && !m.left {
		p.leave(m)
		out = append(out, Action{Kind: Left, Target: m.ID, Boot: m.Boot, Addr: m.Addr})
	}
	if l.Known {
		m.foreign = min(max(float64(l.InFlight-own), 0), float64(m.Slots))
		m.foreignAt = p.now
	}
	return out
}
