package pool

import (
	"cmp"
	"slices"
	"time"
)

// SetTargets replaces the list of targets. A target not in the list gets no new requests;
// its requests in flight continue.
func (p *Pool[P]) Targets(now time.Time, list []Target, out []Action) []Action {
	p.set(now)
	old := p.byID
	newAreCold := len(old) > 0
	p.byID = make(map[string]*Member, len(list))
	p.members = p.members[:0]
	p.out, p.failSum = 0, 0
	for _, t := range list {
		if t.State == Gone {
			p.hold(t.ID, t.Boot)
			continue
		}
		m := p.listed(old[t.ID], t, newAreCold)
		p.byID[t.ID] = m
		p.members = append(p.members, m)
		p.failSum += m.failRate
		if m.left {
			m.out = false
		}
		if m.out {
			p.out++
		}
	}
	p.keepFloor()
	return p.drain(out)
}

// updateMember updates or creates the member of a listed target. A new incarnation starts
// without the state of the old one, including its leaving notice.
func (p *Pool[P]) listed(m *Member, t Target, cold bool) *Member {
	if t.Slots <= 0 {
		t.Slots = p.cfg.Slots
	}
	if m == nil || m.Boot != t.Boot {
		m = &Member{room: float64(t.Slots), answered: p.now, slowAt: p.now}
		if !cold {
			m.served = p.cfg.Warmup
		}
	}
	m.Target = t
	if t.State == Leaving {
		p.hold(t.ID, t.Boot)
	}
	n, ok := p.holds[t.ID]
	m.left = t.Evacuated || ok && n.boot == t.Boot && p.now < n.until
	m.leftUntil = n.until
	return m
}

// enforceMaxEjected readmits the targets with the least evidence while too many are ejected.
func (p *Pool[P]) keepFloor() {
	for float64(p.out) > p.maxOut() {
		var best *Member
		for _, m := range p.members {
			if m.out && !m.left && (best == nil || m.slow+m.fail < best.slow+best.fail) {
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
func (p *Pool[P]) hold(id string, boot uint64) {
	p.holds[id] = hold{boot: boot, until: p.now + p.cfg.Hold}
}

// setLeaving excludes a listed target from new requests.
func (p *Pool[P]) leave(m *Member) {
	p.hold(m.ID, m.Boot)
	m.left = true
	m.leftUntil = p.now + p.cfg.Hold
	p.settle(m)
	p.keepFloor()
}

// clearEjected ends the ejection of an excluded target, so that it doesn't count towards
// the limit of ejected targets.
func (p *Pool[P]) settle(m *Member) {
	if m.left && m.out {
		m.out = false
		p.out--
	}
}

// MarkLeaving records a report from the store or a peer that an incarnation of a target is
// leaving. The target need not be listed yet.
func (p *Pool[P]) Leave(now time.Time, target string, boot uint64, out []Action) []Action {
	p.set(now)
	m := p.byID[target]
	if m == nil {
		p.hold(target, boot)
		return out
	}
	if m.Boot == boot {
		p.leave(m)
	}
	return p.drain(out)
}

// LeavingNotice is an incarnation of a target that is leaving, by its own announcement or
// by a report.
type Held struct {
	Target string
	Boot   uint64
}

// LeavingNotices returns the leaving notices that have not expired. A driver that replaces
// a pool passes them to the new one with MarkLeaving. Otherwise a target whose notice only
// this pool received would get new requests again.
func (p *Pool[P]) Held(now time.Time) (notices []Held) {
	p.set(now)
	for id, n := range p.holds {
		if p.now < n.until {
			notices = append(notices, Held{Target: id, Boot: n.boot})
		}
	}
	slices.SortFunc(notices, func(a, b Held) int { return cmp.Compare(a.Target, b.Target) })
	return notices
}
