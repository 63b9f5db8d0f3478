package slot

import (
	"slices"
	"time"
)

func (b *Book) anyOpen() bool {
	return slices.ContainsFunc(b.order, func(m *member) bool { return !m.leaves() })
}

// atHome reports whether requests with these homes may be sent to m. A target of which
// the region isn't known may be anywhere.
func (m *member) atHome(homes []string) bool {
	return len(homes) == 0 || slices.Contains(homes, m.Region)
}

// housed reports whether any target may get requests with these homes.
func (b *Book) housed(homes []string) bool {
	return len(homes) == 0 || slices.ContainsFunc(b.order, func(m *member) bool { return !m.leaves() && m.atHome(homes) })
}

// usable reports whether s may be sent to m, as far as is known.
func (b *Book) usable(now time.Time, m *member, s *seeker) bool {
	return m.open(now) && m.busy(now, &b.cfg) < m.Slots && b.admits(now, m) && m.atHome(s.Homes) && !slices.Contains(s.Tried, m.ID)
}

// room reports whether any target could take s.
func (b *Book) room(now time.Time, s *seeker) bool {
	return slices.ContainsFunc(b.order, func(m *member) bool { return b.usable(now, m, s) })
}

// candidate is a target with the time that an answer from it should take.
type candidate struct {
	*member
	pace     float64
	expected time.Duration
	cost     float64 // expected, with what speaks against the target
}

// candidates returns at most n of the targets that could take s, the most
// promising first. It looks at each target once, from a random one on, so that
// equal ones take turns.
func (b *Book) candidates(now time.Time, s *seeker, n int) []candidate {
	list := b.scratch[:0]
	total := len(b.order)
	if total == 0 || n <= 0 {
		return nil
	}
	from := b.rnd.IntN(total)
	var view survey
	for i := range total {
		m := b.order[(from+i)%total]
		view.add(now, m, &b.cfg)
		if !b.usable(now, m, s) {
			continue
		}
		list = insert(list, b.candidate(now, m, s), n)
	}
	b.scratch = list
	b.view = view
	return list
}

func (b *Book) candidate(now time.Time, m *member, s *seeker) candidate {
	pace := m.estimate(now, b.mean, &b.cfg)
	c := candidate{member: m, pace: pace, expected: m.expected(now, s.usual, pace, b.knee, &b.cfg)}
	c.cost = b.cost(now, c)
	return c
}

// insert keeps the n most promising candidates in order.
func insert(list []candidate, c candidate, n int) []candidate {
	at := len(list)
	for at > 0 && c.cost < list[at-1].cost {
		at--
	}
	if at == n {
		return list
	}
	if len(list) == n {
		list = list[:n-1]
	}
	return slices.Insert(list, at, c)
}

// unsureFactor is what a target counts for more that leaves a question without
// an answer for unsureAfter, several round trips: its VM may be gone. What is
// sent there is held until its connection is given up, half a second later, and
// so would be each trial that the target gets after that.
const (
	unsureFactor = 3
	unsureAfter  = 10 * time.Millisecond
)

func (b *Book) cost(now time.Time, c candidate) float64 {
	cost := float64(c.expected)
	if c.Place != b.cfg.Place {
		cost *= b.view.far()
	}
	if c.crowded(c.busy(now, &b.cfg)) {
		cost *= b.view.crowd()
	}
	if c.asking && now.Sub(c.askedAt) >= unsureAfter {
		cost *= unsureFactor
	}
	return cost
}

// ask asks the most promising targets for their load.
func (b *Book) ask(now time.Time, s *seeker, out []Action) []Action {
	list := b.candidates(now, s, choices)
	if len(list) == 0 {
		return b.decide(now, s, out)
	}
	s.near = [choices]*member{}
	for i, c := range list {
		s.near[i] = c.member
	}
	s.until = now.Add(b.cfg.AskTime)
	more := b.more()
	for i, c := range list[:min(len(list), max(b.cfg.Ask, 0)+more)] {
		if i >= b.cfg.Ask && !c.unknown(now, &b.cfg) {
			continue
		}
		if c.mute || c.loads && now.Sub(c.told) < askFresh {
			continue
		}
		s.pending++
		s.asked++
		c.askers = append(c.askers, s)
		if c.asking {
			continue
		}
		c.asking, c.askedAt = true, now
		out = append(out, Action{Do: Ask, Target: c.Target})
	}
	if s.pending == 0 {
		return b.decide(now, s, out)
	}
	return out
}

// askFresh is how old a target's word may be to be taken without a question. It
// is a fifteenth of the time in which the pace changes.
const askFresh = 10 * time.Millisecond

// What counts as ideal: a pace as usual, and answers that took no longer than
// that says. Both are within what one answer differs from the next.
const (
	idealPace = 1.1
	idealSlow = 1.5
)

// ideal reports whether m just said that it is idle and as fast as usual: then
// no other answer can change the choice.
func (b *Book) ideal(now time.Time, m *member, s *seeker) bool {
	idle := b.usable(now, m, s) && m.busy(now, &b.cfg) == 0
	return idle && m.pace <= idealPace && m.slower(now) < idealSlow && !m.isCold(now)
}

// decide sends s to the target that promises the earliest end, if that is good
// enough.
func (b *Book) decide(now time.Time, s *seeker, out []Action) []Action {
	s.pending = 0
	m := b.firstGood(now, s, b.nearest(now, s))
	if m == nil {
		m = b.firstGood(now, s, b.candidates(now, s, choices))
	}
	if m == nil {
		return b.settle(now, s, out)
	}
	return b.send(now, s, m, out)
}

func (b *Book) firstGood(now time.Time, s *seeker, list []candidate) *member {
	for _, c := range list {
		if b.good(now, c, s) {
			return c.member
		}
	}
	return nil
}

// nearest returns the targets that were most promising when s asked, as they are
// now. Little else has changed in the time of an answer, so that a second look
// at all targets is needed only when none of these is good: that look is half
// of a decision at 250 targets.
func (b *Book) nearest(now time.Time, s *seeker) []candidate {
	list := b.scratch[:0]
	for _, m := range s.near {
		if m != nil && b.members[m.ID] == m && b.usable(now, m, s) {
			list = insert(list, b.candidate(now, m, s), choices)
		}
	}
	b.scratch = list
	return list
}

// choices is how many targets are looked at for a good one. The first is nearly
// always taken; the others are for those to which a second request may not go, and to
// be asked where little is known.
const choices = 12

// good reports whether m should answer s within its objective. A second
// request at a slow target would hold up both for long.
func (b *Book) good(now time.Time, c candidate, s *seeker) bool {
	if c.busy(now, &b.cfg) > 0 && c.pace > b.cfg.Slow {
		return false
	}
	return !now.Add(c.expected).After(s.Objective)
}

// settle decides what becomes of a request for which no target is good enough:
// it waits while it can still meet its objective. After that it is served late
// by a target that would be idle otherwise, or refused.
func (b *Book) settle(now time.Time, s *seeker, out []Action) []Action {
	if s.Hedge {
		return b.refuse(s, Full, 0, out)
	}
	if now.Add(s.usual).Before(s.Objective) {
		return b.wait(now, s, out)
	}
	for _, c := range b.candidates(now, s, choices) {
		if c.busy(now, &b.cfg) == 0 && c.pace <= b.cfg.Slow && now.Add(c.expected).Before(s.Deadline) {
			return b.send(now, s, c.member, out)
		}
	}
	if why, retry, ok := b.hopeless(now, s); ok {
		return b.refuse(s, why, retry, out)
	}
	return b.refuse(s, Full, b.retry(s.usual), out)
}
