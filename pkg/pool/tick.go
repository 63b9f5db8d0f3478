package pool

import "time"

const (
	queueTick = time.Millisecond      // while requests are queued
	probeTick = 50 * time.Millisecond // between scans for targets to probe
	probeLost = time.Second           // a probe without a result is repeated after it
	probeFail = 2.0                   // failure evidence of a failed probe
)

// Tick removes expired leaving notices, serves the queue and requests probes.
func (p *Pool[P]) Tick(now time.Time, out []Action) []Action {
	p.set(now)
	p.lapse()
	out = p.drain(out)
	return p.probes(now, out)
}

// expireNotices removes expired leaving notices.
func (p *Pool[P]) lapse() {
	for id, n := range p.holds {
		if n.until > p.now {
			continue
		}
		delete(p.holds, id)
		if m := p.byID[id]; m != nil && m.State == Live {
			m.left = false
		}
	}
}

// NextTick returns when Tick is needed next. The zero time means never. A pool without a
// share of the probe budget needs no ticks for probes: most entries don't probe most of
// their services. The driver must call NextTick again when the share changes.
func (p *Pool[P]) Next() time.Time {
	switch {
	case p.queue.len() > 0:
		return p.epoch.Add(p.now + queueTick)
	case p.cfg.Budget != nil && p.cfg.Budget.Active() && len(p.members) > 0:
		return p.epoch.Add(max(p.asked+probeTick, p.now))
	case len(p.holds) > 0:
		return p.epoch.Add(p.now + time.Second)
	}
	return time.Time{}
}

// requestProbes requests probes of the targets where the result can change a decision.
func (p *Pool[P]) probes(now time.Time, out []Action) []Action {
	if p.cfg.Budget == nil || p.now < p.asked+probeTick {
		return out
	}
	p.asked = p.now
	for _, m := range p.members {
		if m.left || p.now < m.probing || !p.worth(m) {
			continue
		}
		if !p.cfg.Budget.Take(now) {
			return out
		}
		m.probing = p.now + probeLost
		out = append(out, Action{Kind: Probe, Target: m.ID, Boot: m.Boot, Addr: m.Addr})
	}
	return out
}

// worthProbing reports whether the result of a probe could change the requests that m
// gets. That is the case before a trial after lost connections or timeouts, and for a
// target without recent responses.
func (p *Pool[P]) worth(m *Member) bool {
	if m.doubted() {
		return m.unclear && p.now >= p.trialDue(m)-probeFirst
	}
	return !m.out && len(m.runs) == 0 && p.now-m.answered > p.cfg.Silent
}

// ProbeDone processes the result of a probe. A good result only allows a trial request,
// because health endpoints can be outdated or wrong. It takes two bad results to eject a
// target.
func (p *Pool[P]) Probed(now time.Time, r Probed, out []Action) []Action {
	p.set(now)
	m := p.byID[r.Target]
	if m == nil {
		return out
	}
	m.probing = 0
	m.answered = p.now
	out = p.report(m, r.Load, len(m.runs), out)
	m.unclear = !r.OK
	switch {
	case r.OK && m.out:
		m.trialAt = min(m.trialAt, p.now)
		m.nextTry = 0
	case !r.OK && m.out:
		p.putOff(m)
	case !r.OK:
		m.fail = min(m.fail+probeFail, failOut+1)
		p.judge(m, false)
	}
	return p.drain(out)
}
