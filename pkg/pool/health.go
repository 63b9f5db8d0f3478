package pool

import (
	"math"
	"time"
)

// The health of a target is evaluated by comparing its response times and failures with
// those of all targets of the service. The evidence is a sum of log-likelihood ratios
// with a lower limit of zero (a CUSUM test). So it needs no time window, includes requests
// that are still running, and decreases with good responses. When the service as a whole
// is slow or failing, the baseline changes, and not the evidence against one target.
const (
	slowFactor  = 0.2  // a straggler finishes requests at a fifth of the normal rate or less
	slowOut     = 12.0 // evidence above which a target is ejected
	slowSuspect = 5.0  // evidence above which a target is suspected
	slowReturn  = 2.0  // evidence up to which a target is readmitted
	slowTrial   = 5.0  // limit of the evidence at ejection, so that good trials can reduce it
	hazardCap   = 4.5  // per request, so that one long request can't eject its target
	slowKeep    = 2 * time.Second

	trialEvery = 200 // arrivals per trial after a bad one, so that few requests reach a bad target
	trialBad   = 1.0 // change of the slow evidence above which a trial counts as bad

	failOut     = 3.5      // evidence above which a target is ejected
	failSuspect = 1.8      // evidence above which a target is suspected
	failReturn  = 1.5      // evidence up to which a target is readmitted
	failFloor   = 0.01     // lower limit of the failure rate of the other targets
	failCeil    = 0.45     // upper limit of that rate in a likelihood ratio, below badFailureRate
	failBad     = 0.5      // failure rate of a faulty target
	failWeight  = 1.0 / 32 // of one completion in the failure rate

	shedsOut = 3 // consecutive sheds from which on each counts as a failure
)

// finishedGain is added to the slow evidence when a request finishes. It is negative.
var slowGain = math.Log(slowFactor)

// decaySlow halves weak evidence every slowHalfLife. The evidence against a suspected
// target is reduced only by trials: in a service with few requests it would otherwise
// decay between two requests, and callers would repeatedly reach the same slow target.
func (m *Member) fade(now time.Duration) {
	if m.slow <= slowSuspect && !m.out {
		m.slow *= math.Exp2(-float64(now-m.slowAt) / float64(slowKeep))
	}
	m.slowAt = now
}

// addLatency updates the slow evidence from a request that has taken took so far, and
// returns the change.
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

// currentSlowEvidence returns the slow evidence including that of the running requests.
func (m *Member) suspicion(now time.Duration, c *Curve) (s float64) {
	s = m.slow
	for i := range m.runs {
		if m.runs[i].on {
			s += (1 - slowFactor) * min(c.Hazard(now-m.runs[i].start), hazardCap)
		}
	}
	return s
}

// addFail updates the failure evidence after a request. While the other targets fail as
// often as a faulty one, a failure is no evidence against this target, and each failure
// halves its existing evidence. Otherwise the first targets affected by a common fault
// would stay ejected.
func (p *Pool[P]) addFail(m *Member, failed bool) {
	others := p.usualFail(m)
	before := m.failRate
	switch {
	case !failed:
		m.fail += math.Log((1 - failBad) / (1 - min(others, failCeil)))
		m.failRate -= failWeight * m.failRate
	case others >= failBad:
		m.fail /= 2
		m.failRate += failWeight * (1 - m.failRate)
	default:
		m.fail += math.Log(failBad / min(others, failCeil))
		m.failRate += failWeight * (1 - m.failRate)
	}
	m.fail = min(max(m.fail, 0), failOut+1)
	p.failSum += m.failRate - before
}

// otherFailureRate returns the mean failure rate of the other targets.
func (p *Pool[P]) usualFail(m *Member) float64 {
	others := p.failSum - m.failRate
	return max(others/float64(max(len(p.members)-1, 1)), failFloor)
}

// addConnectionLoss records a failed connection. One is enough to eject the target, so that a
// crash affects only the requests in flight there, unless the others fail too.
func (p *Pool[P]) lost(m *Member) {
	p.addFail(m, true)
	if p.usualFail(m) < failBad {
		m.fail = failOut + 1
	}
}

// eject ejects a target unless too many are ejected. Without that limit, a fault common
// to all targets would leave no target to send requests to.
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

// maxEjected returns the number of targets that may be ejected, a share of those that are
// not excluded.
func (p *Pool[P]) maxOut() float64 {
	live := 0
	for _, m := range p.members {
		if !m.left {
			live++
		}
	}
	return p.cfg.MaxOut * float64(live)
}

// readmit ends the ejection of a target, with a limit of one request at first.
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

// updateEjection ejects or readmits a target after a completion or a probe. good means
// that the result counts in favor of the target. A bad trial doubles the pause before
// the next one.
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

// postponeTrial doubles the pause before the next trial, up to TrialMax.
func (p *Pool[P]) putOff(m *Member) {
	m.pause = min(2*m.pause, p.cfg.TrialMax)
	m.trialAt = p.now + m.pause
	m.nextTry = p.arrivals + trialEvery
}

// ejectIfStuck ejects a target whose running requests take too long. A stalled target
// sends no responses that could be evaluated.
func (p *Pool[P]) watch(m *Member) {
	if m.out || len(m.runs) == 0 || !m.warm(&p.cfg) {
		return
	}
	if m.suspicion(p.now, &p.curve) > slowOut && !p.slowAlike(m) {
		p.eject(m)
	}
}

// othersAreSlow reports whether at least half of the other targets look slow too. Then the
// service as a whole is slow, and the latency distribution doesn't reflect it yet.
// Ejecting targets would overload the rest.
func (p *Pool[P]) slowAlike(m *Member) bool {
	slow, others := 0, 0
	for _, o := range p.members {
		if o == m || o.left {
			continue
		}
		others++
		if o.suspicion(p.now, &p.curve) >= slowTrial {
			slow++
		}
	}
	return 2*slow >= others
}
