package pool

import (
	"cmp"
	"slices"
	"time"
)

// Targets takes the whole list of targets. One that is missing gets no new
// work; its requests in flight go on.
func (p *Pool[P]) Targets(now time.Time, list []Target, out []Action) []Action {
	p.set(now)
	old := p.byID
	newcomers := len(old) > 0
	p.byID = make(map[string]*Member, len(list))
	p.members = p.members[:0]
	p.out, p.failSum = 0, 0
	for _, t := range list {
		if t.State == Gone {
			p.hold(t.ID, t.Boot)
			continue
		}
		m := p.listed(old[t.ID], t, newcomers)
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

// listed brings one target up to date. A new incarnation starts without the
// old one's history, the word that it was leaving included.
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
	h, ok := p.holds[t.ID]
	m.left = t.Evacuated || ok && h.boot == t.Boot && p.now < h.until
	m.leftUntil = h.until
	return m
}

// keepFloor lets targets back in while more are out than may be.
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

func (p *Pool[P]) hold(id string, boot uint64) {
	p.holds[id] = hold{boot: boot, until: p.now + p.cfg.Hold}
}

func (p *Pool[P]) leave(m *Member) {
	p.hold(m.ID, m.Boot)
	m.left = true
	m.leftUntil = p.now + p.cfg.Hold
	p.settle(m)
	p.keepFloor()
}

// settle drops a leaving target from the count of those that are out: it
// would take up the floor of the others.
func (p *Pool[P]) settle(m *Member) {
	if m.left && m.out {
		m.out = false
		p.out--
	}
}

// Leave takes word from the store or a peer that an incarnation of a target is
// leaving. It holds also for a target that is not listed yet.
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

// Held is an incarnation of a target that said, or of which was said, that it
// leaves.
type Held struct {
	Target string
	Boot   uint64
}

// Held returns the leaving words in force. A driver that replaces a pool passes
// them on by Leave: else a target that only this pool was told of would get new
// work again.
func (p *Pool[P]) Held(now time.Time) (held []Held) {
	p.set(now)
	for id, h := range p.holds {
		if p.now < h.until {
			held = append(held, Held{Target: id, Boot: h.boot})
		}
	}
	slices.SortFunc(held, func(a, b Held) int { return cmp.Compare(a.Target, b.Target) })
	return held
}
