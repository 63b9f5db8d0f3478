package slot

import (
	"slices"
	"time"
)

func (b *Book) anyOpen() bool {
	return slices.ContainsFunc(b.order, func(m *member) bool { return !m.leaves() })
}

// inRegions reports whether the target may serve requests that are restricted to these
// regions; none means no restriction. A target with an unknown region may be anywhere, so it
// serves no restricted request.
func (m *member) atHome(regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, m.Region)
}

// anyInRegions reports whether any available target may serve requests with these regions.
func (b *Book) housed(regions []string) bool {
	return len(regions) == 0 || slices.ContainsFunc(b.order, func(m *member) bool { return !m.leaves() && m.atHome(regions) })
}

// usable reports whether s may be dispatched to m, by the current estimate of its load.
func (b *Book) usable(now time.Time, m *member, s *seeker) bool {
	return m.open(now) && m.busy(now, &b.cfg) < m.Slots && b.admits(now, m) && m.atHome(s.Homes) && !slices.Contains(s.Tried, m.ID)
}

// anyUsable reports whether any target may get s.
func (b *Book) room(now time.Time, s *seeker) bool {
	return slices.ContainsFunc(b.order, func(m *member) bool { return b.usable(now, m, s) })
}

// candidate is a target with the expected latency of a response from it.
type candidate struct {
	*member
	pace     float64
	expected time.Duration
	cost     float64 // expected latency with all penalties
}

// candidates returns at most n targets that may get s, in order of cost. It scans all
// targets once from a random offset, so that targets of equal cost take turns.
func (b *Book) candidates(now time.Time, s *seeker, n int) []candidate {
	list := b.scratch[:0]
	total := len(b.order)
	if total == 0 || n <= 0 {
		return nil
	}
	offset := b.rnd.IntN(total)
	var stats survey
	for i := range total {
		m := b.order[(offset+i)%total]
		stats.add(now, m, &b.cfg)
		if !b.usable(now, m, s) {
			continue
		}
		list = insert(list, b.candidate(now, m, s), n)
	}
	b.scratch = list
	b.view = stats
	return list
}

func (b *Book) candidate(now time.Time, m *member, s *seeker) candidate {
	pace := m.estimate(now, b.mean, &b.cfg)
	c := candidate{member: m, pace: pace, expected: m.expected(now, s.usual, pace, b.knee, &b.cfg)}
	c.cost = b.cost(now, c)
	return c
}

// insert adds c to the list, which is ordered by cost and holds at most n candidates.
func insert(list []candidate, c candidate, n int) []candidate {
	pos := len(list)
	for pos > 0 && c.cost < list[pos-1].cost {
		pos--
	}
	if pos == n {
		return list
	}
	if len(list) == n {
		list = list[:n-1]
	}
	return slices.Insert(list, pos, c)
}

// unansweredPenalty multiplies the cost of a target that has left a probe unanswered for
// unansweredAfter, which is several round trips: its VM may be gone. A request to such a
// target is held until its connection times out half a second later, and so is every trial
// request that the target gets after that.
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

// probe probes the most promising targets for their load.
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
	extra := b.more()
	for i, c := range list[:min(len(list), max(b.cfg.Ask, 0)+extra)] {
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

// freshLoadAge is the age up to which a load report makes a probe unnecessary. It is a
// fifteenth of the time in which the pace changes.
const askFresh = 10 * time.Millisecond

// A target is ideal when its pace is normal and its responses took no longer than that pace
// predicts. Both bounds lie within the variation from one response to the next.
const (
	idealPace = 1.1
	idealSlow = 1.5
)

// ideal reports whether m has just reported that it is idle and that its pace is normal. No
// other answer can change the choice then.
func (b *Book) ideal(now time.Time, m *member, s *seeker) bool {
	idle := b.usable(now, m, s) && m.busy(now, &b.cfg) == 0
	return idle && m.pace <= idealPace && m.slower(now) < idealSlow && !m.isCold(now)
}

// decide dispatches s to the acceptable target with the lowest cost.
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

// refreshShortlist returns the shortlist of s with current costs. Little else changes while
// the probes are answered, so a second scan of all targets is needed only when none of these
// is acceptable. That scan takes half of the time of a decision with 250 targets.
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

// maxCandidates is the number of candidates that a decision considers. The first is nearly
// always chosen. The others are needed when a target can't take a second request, and for
// extra probes when the load of many targets is unknown.
const choices = 12

// acceptable reports whether the target is expected to answer s within its objective. A
// second request at a slow target would delay both for long.
func (b *Book) good(now time.Time, c candidate, s *seeker) bool {
	if c.busy(now, &b.cfg) > 0 && c.pace > b.cfg.Slow {
		return false
	}
	return !now.Add(c.expected).After(s.Objective)
}

// waitOrRefuse handles a request for which no target is acceptable. It is queued while it
// can still meet its objective. After that it is dispatched late to an idle target, or
// refused.
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
	if reason, retryAfter, ok := b.hopeless(now, s); ok {
		return b.refuse(s, reason, retryAfter, out)
	}
	return b.refuse(s, Full, b.retry(s.usual), out)
}
