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
	stragglerRate = 0.2  // a straggler finishes requests at a fifth of the normal rate or less
	ejectSlow     = 12.0 // evidence above which a target is ejected
	suspectSlow   = 5.0  // evidence above which a target is suspected
	readmitSlow   = 2.0  // evidence up to which a target is readmitted
	ejectedSlow   = 5.0  // limit of the evidence at ejection, so that good trials can reduce it
	maxHazard     = 4.5  // per request, so that one long request can't eject its target
	slowHalfLife  = 2 * time.Second

	trialArrivals  = 200 // arrivals per trial after a bad one, so that few requests reach a bad target
	badTrialChange = 1.0 // change of the slow evidence above which a trial counts as bad

	ejectFail         = 3.5      // evidence above which a target is ejected
	suspectFail       = 1.8      // evidence above which a target is suspected
	readmitFail       = 1.5      // evidence up to which a target is readmitted
	minFailureRate    = 0.01     // lower limit of the failure rate of the other targets
	maxFailureRate    = 0.45     // upper limit of that rate in a likelihood ratio, below badFailureRate
	badFailureRate    = 0.5      // failure rate of a faulty target
	failureRateWeight = 1.0 / 32 // of one completion in the failure rate

	shedsAsFailure = 3 // consecutive sheds from which on each counts as a failure
)

// finishedGain is added to the slow evidence when a request finishes. It is negative.
var finishedGain = math.Log(stragglerRate)

// decaySlow halves weak evidence every slowHalfLife. The evidence against a suspected
// target is reduced only by trials: in a service with few requests it would otherwise
// decay between two requests, and callers would repeatedly reach the same slow target.
func (m *Member) decaySlow(now time.Duration) {
	if m.slowEvidence <= suspectSlow && !m.ejected {
		m.slowEvidence *= math.Exp2(-float64(now-m.slowUpdatedAt) / float64(slowHalfLife))
	}
	m.slowUpdatedAt = now
}

// addLatency updates the slow evidence from a request that has taken took so far, and
// returns the change.
func (m *Member) addLatency(now time.Duration, c *LatencyDistribution, took time.Duration, finished bool) (change float64) {
	m.decaySlow(now)
	if !c.ready {
		return 0
	}
	change = (1 - stragglerRate) * min(c.Hazard(took), maxHazard)
	if finished {
		change += finishedGain
	}
	m.slowEvidence = min(max(m.slowEvidence+change, 0), ejectSlow+1)
	return change
}

// currentSlowEvidence returns the slow evidence including that of the running requests.
func (m *Member) currentSlowEvidence(now time.Duration, c *LatencyDistribution) (s float64) {
	s = m.slowEvidence
	for i := range m.dispatches {
		if m.dispatches[i].inSlot {
			s += (1 - stragglerRate) * min(c.Hazard(now-m.dispatches[i].start), maxHazard)
		}
	}
	return s
}

// addFail updates the failure evidence after a request. While the other targets fail as
// often as a faulty one, a failure is no evidence against this target, and each failure
// halves its existing evidence. Otherwise the first targets affected by a common fault
// would stay ejected.
func (p *Pool[P]) addFail(m *Member, failed bool) {
	others := p.otherFailureRate(m)
	before := m.failureRate
	switch {
	case !failed:
		m.failEvidence += math.Log((1 - badFailureRate) / (1 - min(others, maxFailureRate)))
		m.failureRate -= failureRateWeight * m.failureRate
	case others >= badFailureRate:
		m.failEvidence /= 2
		m.failureRate += failureRateWeight * (1 - m.failureRate)
	default:
		m.failEvidence += math.Log(badFailureRate / min(others, maxFailureRate))
		m.failureRate += failureRateWeight * (1 - m.failureRate)
	}
	m.failEvidence = min(max(m.failEvidence, 0), ejectFail+1)
	p.failureRateSum += m.failureRate - before
}

// otherFailureRate returns the mean failure rate of the other targets.
func (p *Pool[P]) otherFailureRate(m *Member) float64 {
	others := p.failureRateSum - m.failureRate
	return max(others/float64(max(len(p.members)-1, 1)), minFailureRate)
}

// addConnectionLoss records a failed connection. One is enough to eject the target, so that a
// crash affects only the requests in flight there, unless the others fail too.
func (p *Pool[P]) addConnectionLoss(m *Member) {
	p.addFail(m, true)
	if p.otherFailureRate(m) < badFailureRate {
		m.failEvidence = ejectFail + 1
	}
}

// eject ejects a target unless too many are ejected. Without that limit, a fault common
// to all targets would leave no target to send requests to.
func (p *Pool[P]) eject(m *Member) {
	if m.ejected || p.cfg.IgnoreOutcomes || float64(p.ejected+1) > p.maxEjected() {
		return
	}
	m.ejected = true
	p.ejected++
	m.trialPause = p.cfg.TrialMin
	m.nextTrial = p.now + m.trialPause
	m.slowEvidence = min(m.slowEvidence, ejectedSlow)
}

// maxEjected returns the number of targets that may be ejected, a share of those that are
// not excluded.
func (p *Pool[P]) maxEjected() float64 {
	live := 0
	for _, m := range p.members {
		if !m.excluded {
			live++
		}
	}
	return p.cfg.MaxEjectedShare * float64(live)
}

// readmit ends the ejection of a target, with a limit of one request at first.
func (p *Pool[P]) readmit(m *Member) {
	if !m.ejected {
		return
	}
	m.ejected = false
	p.ejected--
	m.learnedLimit = 1
	m.slowEvidence, m.failEvidence = min(m.slowEvidence, readmitSlow), min(m.failEvidence, readmitFail)
	m.slowUpdatedAt = p.now
}

// updateEjection ejects or readmits a target after a completion or a probe. good means
// that the result counts in favor of the target. A bad trial doubles the pause before
// the next one.
func (p *Pool[P]) updateEjection(m *Member, good bool) {
	if !m.ejected {
		if m.slowEvidence > ejectSlow && !p.othersAreSlow(m) || m.failEvidence > ejectFail {
			p.eject(m)
		}
		if !good {
			m.nextTrialArrival = p.arrivals + trialArrivals
		}
		return
	}
	if m.failEvidence <= readmitFail && (m.slowEvidence <= readmitSlow || p.othersAreSlow(m)) {
		p.readmit(m)
		return
	}
	if good {
		m.trialPause = p.cfg.TrialMin
		m.nextTrial = p.now
		return
	}
	p.postponeTrial(m)
}

// postponeTrial doubles the pause before the next trial, up to TrialMax.
func (p *Pool[P]) postponeTrial(m *Member) {
	m.trialPause = min(2*m.trialPause, p.cfg.TrialMax)
	m.nextTrial = p.now + m.trialPause
	m.nextTrialArrival = p.arrivals + trialArrivals
}

// ejectIfStuck ejects a target whose running requests take too long. A stalled target
// sends no responses that could be evaluated.
func (p *Pool[P]) ejectIfStuck(m *Member) {
	if m.ejected || len(m.dispatches) == 0 || !m.warmedUp(&p.cfg) {
		return
	}
	if m.currentSlowEvidence(p.now, &p.latencies) > ejectSlow && !p.othersAreSlow(m) {
		p.eject(m)
	}
}

// othersAreSlow reports whether at least half of the other targets look slow too. Then the
// service as a whole is slow, and the latency distribution doesn't reflect it yet.
// Ejecting targets would overload the rest.
func (p *Pool[P]) othersAreSlow(m *Member) bool {
	slow, others := 0, 0
	for _, o := range p.members {
		if o == m || o.excluded {
			continue
		}
		others++
		if o.currentSlowEvidence(p.now, &p.latencies) >= ejectedSlow {
			slow++
		}
	}
	return 2*slow >= others
}
