package slot

import (
	"slices"
	"time"
)

func (b *Balancer) anyAvailable() bool {
	return slices.ContainsFunc(b.sorted, func(m *member) bool { return !m.excluded() })
}

// inRegions reports whether the target may serve requests that are restricted to these
// regions; none means no restriction. A target with an unknown region may be anywhere, so it
// serves no restricted request.
func (m *member) inRegions(regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, m.Region)
}

// anyInRegions reports whether any available target may serve requests with these regions.
func (b *Balancer) anyInRegions(regions []string) bool {
	return len(regions) == 0 || slices.ContainsFunc(b.sorted, func(m *member) bool { return !m.excluded() && m.inRegions(regions) })
}

// usable reports whether p may be dispatched to m, by the current estimate of m's load.
func (b *Balancer) usable(now time.Time, m *member, p *pendingRequest) bool {
	return m.acceptsRequests(now) && m.totalInFlight(now, &b.config) < m.Slots && b.admits(now, m) && m.inRegions(p.Regions) && !slices.Contains(p.Tried, m.ID)
}

// anyUsable reports whether any target may get p.
func (b *Balancer) anyUsable(now time.Time, p *pendingRequest) bool {
	return slices.ContainsFunc(b.sorted, func(m *member) bool { return b.usable(now, m, p) })
}

// candidate is a target with the expected latency of a response from it.
type candidate struct {
	*member
	pace     float64
	expected time.Duration
	cost     float64 // expected latency with all penalties
}

// candidates returns at most n targets that may get p, in order of cost. It scans all
// targets once from a random offset, so that targets of equal cost take turns.
func (b *Balancer) candidates(now time.Time, p *pendingRequest, n int) []candidate {
	list := b.scratch[:0]
	total := len(b.sorted)
	if total == 0 || n <= 0 {
		return nil
	}
	offset := b.rng.IntN(total)
	var stats loadStats
	for i := range total {
		m := b.sorted[(offset+i)%total]
		stats.add(now, m, &b.config)
		if !b.usable(now, m, p) {
			continue
		}
		list = insert(list, b.candidate(now, m, p), n)
	}
	b.scratch = list
	b.stats = stats
	return list
}

func (b *Balancer) candidate(now time.Time, m *member, p *pendingRequest) candidate {
	pace := m.estimatedPace(now, b.meanPace, &b.config)
	c := candidate{member: m, pace: pace, expected: m.expectedLatency(now, p.serviceTime, pace, b.crowdedFactor, &b.config)}
	c.cost = b.costOf(now, c)
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
	unansweredPenalty = 3
	unansweredAfter   = 10 * time.Millisecond
)

// minCostLatency is the latency below which targets count as equally fast. Smaller differences
// are within the variation of the network, and the first target to be measured would get all
// requests of a caller that sends one after the other.
const minCostLatency = time.Millisecond

func (b *Balancer) costOf(now time.Time, c candidate) float64 {
	cost := float64(max(c.expected, minCostLatency))
	if c.Place != b.config.Place {
		cost *= b.stats.remotePenalty()
	}
	if c.crowded(c.totalInFlight(now, &b.config)) {
		cost *= b.stats.crowdedPenalty()
	}
	if c.probing && now.Sub(c.probedAt) >= unansweredAfter {
		cost *= unansweredPenalty
	}
	return cost
}

// probe probes the most promising targets for their load.
func (b *Balancer) probe(now time.Time, p *pendingRequest, out []Action) []Action {
	list := b.candidates(now, p, maxCandidates)
	if len(list) == 0 {
		return b.decide(now, p, out)
	}
	p.shortlist = [maxCandidates]*member{}
	for i, c := range list {
		p.shortlist[i] = c.member
	}
	p.probeDeadline = now.Add(b.config.ProbeTimeout)
	extra := b.extraProbes()
	for i, c := range list[:min(len(list), max(b.config.Probes, 0)+extra)] {
		if i >= b.config.Probes && !c.loadUnknown(now, &b.config) {
			continue
		}
		if c.omitsLoad || c.loadKnown && now.Sub(c.loadAt) < freshLoadAge {
			continue
		}
		send := !c.probing
		if send && !b.probeLimit.take(now, p.queued) {
			continue
		}
		p.outstanding++
		p.probeCount++
		c.probeWaiters = append(c.probeWaiters, p)
		if !send {
			continue
		}
		c.probing, c.probedAt = true, now
		out = append(out, Action{Kind: SendProbe, Target: c.Target})
	}
	if p.outstanding == 0 {
		return b.decide(now, p, out)
	}
	return out
}

// freshLoadAge is the age up to which a load report makes a probe unnecessary. It is a
// fifteenth of the time in which the pace changes.
const freshLoadAge = 10 * time.Millisecond

// A target is ideal when its pace is normal and its responses took no longer than that pace
// predicts. Both bounds lie within the variation from one response to the next.
const (
	maxIdealPace         = 1.1
	maxIdealLatencyRatio = 1.5
)

// ideal reports whether m has just reported that it is idle and that its pace is normal. No
// other response can change the choice then.
func (b *Balancer) ideal(now time.Time, m *member, p *pendingRequest) bool {
	idle := b.usable(now, m, p) && m.totalInFlight(now, &b.config) == 0
	return idle && m.pace <= maxIdealPace && m.currentLatencyRatio(now) < maxIdealLatencyRatio && !m.isCold(now)
}

// decide dispatches p to the acceptable target with the lowest cost.
func (b *Balancer) decide(now time.Time, p *pendingRequest, out []Action) []Action {
	p.outstanding = 0
	m := b.firstAcceptable(now, p, b.refreshShortlist(now, p))
	if m == nil {
		m = b.firstAcceptable(now, p, b.candidates(now, p, maxCandidates))
	}
	if m == nil {
		return b.waitOrRefuse(now, p, out)
	}
	return b.dispatch(now, p, m, out)
}

func (b *Balancer) firstAcceptable(now time.Time, p *pendingRequest, list []candidate) *member {
	for _, c := range list {
		if b.acceptable(now, c, p) {
			return c.member
		}
	}
	return nil
}

// refreshShortlist returns the shortlist of p with current costs. Little else changes while
// the probes are answered, so a second scan of all targets is needed only when none of these
// is acceptable. That scan takes half of the time of a decision with 250 targets.
func (b *Balancer) refreshShortlist(now time.Time, p *pendingRequest) []candidate {
	list := b.scratch[:0]
	for _, m := range p.shortlist {
		if m != nil && b.members[m.ID] == m && b.usable(now, m, p) {
			list = insert(list, b.candidate(now, m, p), maxCandidates)
		}
	}
	b.scratch = list
	return list
}

// maxCandidates is the number of candidates that a decision considers. The first is nearly
// always chosen. The others are needed when a target can't take a second request, and for
// extra probes when the load of many targets is unknown.
const maxCandidates = 12

// acceptable reports whether the target is expected to answer p within its objective. A
// second request at a slow target would delay both for long.
func (b *Balancer) acceptable(now time.Time, c candidate, p *pendingRequest) bool {
	if c.totalInFlight(now, &b.config) > 0 && c.pace > b.config.SlowPace && !b.mayBeSlow(now, c) {
		return false
	}
	return !now.Add(c.expected).After(p.Objective)
}

// waitOrRefuse handles a request for which no target is acceptable. It is refused if all targets
// are at their bounds until it can't meet its objective any more, and otherwise queued while it
// can meet it. After that it is dispatched late to an idle target, or refused.
func (b *Balancer) waitOrRefuse(now time.Time, p *pendingRequest, out []Action) []Action {
	if p.Hedge {
		return b.refuse(p, Full, 0, out)
	}
	if reason, retryAfter, ok := b.throttledPastObjective(now, p); ok {
		return b.refuse(p, reason, retryAfter, out)
	}
	if now.Add(p.serviceTime).Before(p.Objective) {
		return b.enqueue(now, p, out)
	}
	for _, c := range b.candidates(now, p, maxCandidates) {
		if c.totalInFlight(now, &b.config) == 0 && c.pace <= b.config.SlowPace && now.Add(c.expected).Before(p.Deadline) {
			return b.dispatch(now, p, c.member, out)
		}
	}
	return b.refuse(p, Full, b.refusalDelay(now, p), out)
}
