package pool

import (
	"math"
	"time"
)

// A target is judged by how its answer times and failures compare with those
// of all targets of the service. The evidence is a sum of log likelihood
// ratios, never below zero (a CUSUM test), so that it needs no window, counts
// requests that are still running, and fades by itself on good answers. A
// service that is slow or failing as a whole moves the yardstick, not the
// judgement of one target.
const (
	slowFactor  = 0.2 // a straggler finishes at a fifth of the usual rate or less
	slowOut     = 12.0
	slowSuspect = 5.0
	slowReturn  = 2.0
	slowTrial   = 5.0 // evidence left at ejection, for good trials to wear down
	hazardCap   = 4.5 // one long request alone can't eject its target
	slowKeep    = 2 * time.Second

	trialEvery = 200 // requests for each trial after a bad one, so that few meet it
	trialBad   = 1.0 // change by an answer from which on a trial counts as bad

	failOut     = 3.5
	failSuspect = 1.8
	failReturn  = 1.5
	failFloor   = 0.01
	failCeil    = 0.45
	failBad     = 0.5
	failWeight  = 1.0 / 32

	shedsOut = 3
)

var slowGain = math.Log(slowFactor)

// fade lets slight evidence age. A suspected target is judged anew by trials
// instead: in a quiet service its evidence would fade between two requests, and
// callers would meet the same slow target again and again.
func (m *Member) fade(now time.Duration) {
	if m.slow <= slowSuspect && !m.out {
		m.slow *= math.Exp2(-float64(now-m.slowAt) / float64(slowKeep))
	}
	m.slowAt = now
}

func (m *Member) addSlow(now time.Duration, c *Curve, took time.Duration, finished bool) (change float64) {
	m.fade(now)
	if !c.ready {
		return 0
	}
	change = (1 - slowFactor) * min(c.Hazard(took), hazardCap)
	if finished {
		change += slowGain
	}
	m.slow = min(max(m.slow+change, 0), slowOut+1)
	return change
}

// suspicion is the evidence with what the running requests already show.
func (m *Member) suspicion(now time.Duration, c *Curve) (s float64) {
	s = m.slow
	for i := range m.runs {
		if m.runs[i].on {
			s += (1 - slowFactor) * min(c.Hazard(now-m.runs[i].start), hazardCap)
		}
	}
	return s
}

// addFail counts an answer against or for the target. Where the others fail as
// often, a failure says nothing against this one, and what was held against it
// before the others began goes by halves: else the first ones to meet a fault
// of all would stay out.
func (p *Pool[P]) addFail(m *Member, failed bool) {
	usual := p.usualFail(m)
	before := m.failRate
	switch {
	case !failed:
		m.fail += math.Log((1 - failBad) / (1 - min(usual, failCeil)))
		m.failRate -= failWeight * m.failRate
	case usual >= failBad:
		m.fail /= 2
		m.failRate += failWeight * (1 - m.failRate)
	default:
		m.fail += math.Log(failBad / min(usual, failCeil))
		m.failRate += failWeight * (1 - m.failRate)
	}
	m.fail = min(max(m.fail, 0), failOut+1)
	p.failSum += m.failRate - before
}

// usualFail is the share of failures at the other targets.
func (p *Pool[P]) usualFail(m *Member) float64 {
	others := p.failSum - m.failRate
	return max(others/float64(max(len(p.members)-1, 1)), failFloor)
}

// lost counts a connection that failed: that alone takes a target out, so that
// a crash costs no more than the requests there, unless the others fail too.
func (p *Pool[P]) lost(m *Member) {
	p.addFail(m, true)
	if p.usualFail(m) < failBad {
		m.fail = failOut + 1
	}
}

// eject takes a target out unless too many are out. Without that floor a fault
// that all targets share would leave nothing to send to.
func (p *Pool[P]) eject(m *Member) {
	if m.out || p.cfg.Blind || float64(p.out+1) > p.maxOut() {
		return
	}
	m.out = true
	p.out++
	m.pause = p.cfg.TrialMin
	m.trialAt = p.now + m.pause
	m.slow = min(m.slow, slowTrial)
}

// maxOut is how many targets may be out, by those that may get new work.
func (p *Pool[P]) maxOut() float64 {
	live := 0
	for _, m := range p.members {
		if !m.left {
			live++
		}
	}
	return p.cfg.MaxOut * float64(live)
}

func (p *Pool[P]) readmit(m *Member) {
	if !m.out {
		return
	}
	m.out = false
	p.out--
	m.room = 1
	m.slow, m.fail = min(m.slow, slowReturn), min(m.fail, failReturn)
	m.slowAt = p.now
}

// judge draws the conclusion from an answer. good tells whether it spoke for
// the target; a bad trial doubles the pause before the next.
func (p *Pool[P]) judge(m *Member, good bool) {
	if !m.out {
		if m.slow > slowOut && !p.slowAlike(m) || m.fail > failOut {
			p.eject(m)
		}
		if !good {
			m.nextTry = p.arrivals + trialEvery
		}
		return
	}
	if m.fail <= failReturn && (m.slow <= slowReturn || p.slowAlike(m)) {
		p.readmit(m)
		return
	}
	if good {
		m.pause = p.cfg.TrialMin
		m.trialAt = p.now
		return
	}
	p.putOff(m)
}

// putOff makes the pause before the next trial longer.
func (p *Pool[P]) putOff(m *Member) {
	m.pause = min(2*m.pause, p.cfg.TrialMax)
	m.trialAt = p.now + m.pause
	m.nextTry = p.arrivals + trialEvery
}

// watch ejects a target whose running requests alone show that it is stuck:
// a stalled target gives no answers by which to judge it.
func (p *Pool[P]) watch(m *Member) {
	if m.out || len(m.runs) == 0 || !m.warm(&p.cfg) {
		return
	}
	if m.suspicion(p.now, &p.curve) > slowOut && !p.slowAlike(m) {
		p.eject(m)
	}
}

// slowAlike tells whether at least half of the others look slow too. Then the
// service is slow and the curve has yet to learn it; taking targets out would
// leave the rest with more than they can do.
func (p *Pool[P]) slowAlike(m *Member) bool {
	alike, others := 0, 0
	for _, o := range p.members {
		if o == m || o.left {
			continue
		}
		others++
		if o.suspicion(p.now, &p.curve) >= slowTrial {
			alike++
		}
	}
	return 2*alike >= others
}
