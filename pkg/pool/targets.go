package pool

import (
	"cmp"
	"slices"
	"time"
)

// SetTargets replaces the list of targets. A target not in the list gets no new requests;
// its requests in flight continue.
func (p *Pool[P]) SetTargets(now time.Time, list []Target, out []Action) []Action {
	p.setClock(now)
	old := p.byID
	newAreCold := len(old) > 0
	p.byID = make(map[string]*Member, len(list))
	p.members = p.members[:0]
	p.ejected, p.failureRateSum = 0, 0
	for _, t := range list {
		if t.State == Gone {
			p.addNotice(t.ID, t.Boot)
			continue
		}
		m := p.updateMember(old[t.ID], t, newAreCold)
		p.byID[t.ID] = m
		p.members = append(p.members, m)
		p.failureRateSum += m.failureRate
		if m.excluded {
			m.ejected = false
		}
		if m.ejected {
			p.ejected++
		}
	}
	p.enforceMaxEjected()
	return p.serveQueue(out)
}

// updateMember updates or creates the member of a listed target. A new incarnation starts
// without the state of the old one, including its leaving notice.
func (p *Pool[P]) updateMember(m *Member, t Target, cold bool) *Member {
	if t.Slots <= 0 {
		t.Slots = p.cfg.DefaultSlots
	}
	if m == nil || m.Boot != t.Boot {
		m = &Member{learnedLimit: float64(t.Slots), lastResponse: p.now, slowUpdatedAt: p.now}
		if !cold {
			m.served = p.cfg.WarmupRequests
		}
	}
	m.Target = t
	if t.State == Leaving {
		p.addNotice(t.ID, t.Boot)
	}
	n, ok := p.notices[t.ID]
	m.excluded = t.Evacuated || ok && n.boot == t.Boot && p.now < n.until
	m.excludedUntil = n.until
	return m
}

// enforceMaxEjected readmits the targets with the least evidence while too many are ejected.
func (p *Pool[P]) enforceMaxEjected() {
	for float64(p.ejected) > p.maxEjected() {
		var best *Member
		for _, m := range p.members {
			if m.ejected && !m.excluded && (best == nil || m.slowEvidence+m.failEvidence < best.slowEvidence+best.failEvidence) {
				best = m
			}
		}
		if best == nil {
			return
		}
		p.readmit(best)
	}
}

// addNotice records that an incarnation of a target is leaving.
func (p *Pool[P]) addNotice(id string, boot uint64) {
	p.notices[id] = notice{boot: boot, until: p.now + p.cfg.LeavingHold}
}

// setLeaving excludes a listed target from new requests.
func (p *Pool[P]) setLeaving(m *Member) {
	p.addNotice(m.ID, m.Boot)
	m.excluded = true
	m.excludedUntil = p.now + p.cfg.LeavingHold
	p.clearEjected(m)
	p.enforceMaxEjected()
}

// clearEjected ends the ejection of an excluded target, so that it doesn't count towards
// the limit of ejected targets.
func (p *Pool[P]) clearEjected(m *Member) {
	if m.excluded && m.ejected {
		m.ejected = false
		p.ejected--
	}
}

// MarkLeaving records a report from the store or a peer that an incarnation of a target is
// leaving. The target need not be listed yet.
func (p *Pool[P]) MarkLeaving(now time.Time, target string, boot uint64, out []Action) []Action {
	p.setClock(now)
	m := p.byID[target]
	if m == nil {
		p.addNotice(target, boot)
		return out
	}
	if m.Boot == boot {
		p.setLeaving(m)
	}
	return p.serveQueue(out)
}

// LeavingNotice is an incarnation of a target that is leaving, by its own announcement or
// by a report.
type LeavingNotice struct {
	Target string
	Boot   uint64
}

// LeavingNotices returns the leaving notices that have not expired. A driver that replaces
// a pool passes them to the new one with MarkLeaving. Otherwise a target whose notice only
// this pool received would get new requests again.
func (p *Pool[P]) LeavingNotices(now time.Time) (notices []LeavingNotice) {
	p.setClock(now)
	for id, n := range p.notices {
		if p.now < n.until {
			notices = append(notices, LeavingNotice{Target: id, Boot: n.boot})
		}
	}
	slices.SortFunc(notices, func(a, b LeavingNotice) int { return cmp.Compare(a.Target, b.Target) })
	return notices
}
