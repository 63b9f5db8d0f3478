package pool

import "time"

const (
	queueTick = time.Millisecond
	probeTick = 50 * time.Millisecond
	probeLost = time.Second
	probeFail = 2.0 // evidence of a failed probe
)

// Tick refuses what has become too late, dispatches what has got room, lets
// holds lapse and asks for probes.
func (p *Pool[P]) Tick(now time.Time, out []Action) []Action {
	p.set(now)
	p.lapse()
	out = p.drain(out)
	return p.probes(now, out)
}

func (p *Pool[P]) lapse() {
	for id, h := range p.holds {
		if h.until > p.now {
			continue
		}
		delete(p.holds, id)
		if m := p.byID[id]; m != nil && m.State == Live {
			m.left = false
		}
	}
}

// Next tells when Tick is needed next; the zero time means not at all. An entry
// without a share of the probe budget needs no ticks for it, since most entries
// hold most services without probing them; a new share is a reason to ask again.
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

// probes asks about the targets of which an answer would change a decision.
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

// worth tells whether a probe of m could change what it is sent: one that is
// due back after lost connections, or one that has been silent.
func (p *Pool[P]) worth(m *Member) bool {
	if m.doubted() {
		return m.unclear && p.now >= p.trialDue(m)-probeFirst
	}
	return !m.out && len(m.runs) == 0 && p.now-m.answered > p.cfg.Silent
}

// Probed takes the result of a probe. A good one only allows a trial request,
// since health endpoints lag and mislead; it takes two bad ones to eject.
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
