package pool

import "time"

const (
	queueTick           = time.Millisecond      // while requests are queued
	probeTick           = 50 * time.Millisecond // between scans for targets to probe
	probeTimeout        = time.Second           // a probe without a result is repeated after it
	failedProbeEvidence = 2.0                   // failure evidence of a failed probe
)

// Tick removes expired leaving notices, serves the queue and requests probes.
func (p *Pool[P]) Tick(now time.Time, out []Action) []Action {
	p.setClock(now)
	p.expireNotices()
	out = p.serveQueue(out)
	return p.requestProbes(now, out)
}

func (p *Pool[P]) expireNotices() {
	for id, n := range p.notices {
		if n.until > p.now {
			continue
		}
		delete(p.notices, id)
		if m := p.byID[id]; m != nil && m.State == Live {
			m.excluded = false
		}
	}
}

// NextTick returns when Tick is needed next. The zero time means never. A pool without a
// share of the probe budget needs no ticks for probes: most entries don't probe most of
// their services. The driver must call NextTick again when the share changes.
func (p *Pool[P]) NextTick() time.Time {
	switch {
	case p.queue.len() > 0:
		return p.timeOrigin.Add(p.now + queueTick)
	case p.cfg.ProbeBudget != nil && p.cfg.ProbeBudget.Active() && len(p.members) > 0:
		return p.timeOrigin.Add(max(p.lastProbeScan+probeTick, p.now))
	case len(p.notices) > 0:
		return p.timeOrigin.Add(p.now + time.Second)
	}
	return time.Time{}
}

// requestProbes requests probes of the targets where the result can change a decision.
func (p *Pool[P]) requestProbes(now time.Time, out []Action) []Action {
	if p.cfg.ProbeBudget == nil || p.now < p.lastProbeScan+probeTick {
		return out
	}
	p.lastProbeScan = p.now
	for _, m := range p.members {
		if m.excluded || p.now < m.probingUntil || !p.worthProbing(m) {
			continue
		}
		if !p.cfg.ProbeBudget.Take(now) {
			return out
		}
		m.probingUntil = p.now + probeTimeout
		out = append(out, Action{Kind: Probe, Target: m.ID, Boot: m.Boot, Addr: m.Addr})
	}
	return out
}

// worthProbing reports whether the result of a probe could change the requests that m
// gets. That is the case before a trial after lost connections or timeouts, and for a
// target without recent responses.
func (p *Pool[P]) worthProbing(m *Member) bool {
	if m.needsTrial() {
		return m.maybeGone && p.now >= p.trialDue(m)-probeHeadStart
	}
	return !m.ejected && len(m.dispatches) == 0 && p.now-m.lastResponse > p.cfg.ProbeAfter
}

// ProbeDone processes the result of a probe. A good result only allows a trial request,
// because health endpoints can be outdated or wrong. It takes two bad results to eject a
// target.
func (p *Pool[P]) ProbeDone(now time.Time, r ProbeResult, out []Action) []Action {
	p.setClock(now)
	m := p.byID[r.Target]
	if m == nil {
		return out
	}
	m.probingUntil = 0
	m.lastResponse = p.now
	out = p.applyLoad(m, r.Load, len(m.dispatches), out)
	m.maybeGone = !r.OK
	switch {
	case r.OK && m.ejected:
		m.nextTrial = min(m.nextTrial, p.now)
		m.nextTrialArrival = 0
	case !r.OK && m.ejected:
		p.postponeTrial(m)
	case !r.OK:
		m.failEvidence = min(m.failEvidence+failedProbeEvidence, ejectFail+1)
		p.updateEjection(m, false)
	}
	return p.serveQueue(out)
}
