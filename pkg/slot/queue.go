package slot

import (
	"cmp"
	"slices"
	"time"
)

// reprobeInterval is the time between the probes of a queued request. Pace changes in about
// 150 ms, so a target that was probed less than 15 ms ago has little new to report.
const reprobeInterval = 15 * time.Millisecond

// enqueue adds p to the queue and schedules its next probes. Requests that it leaves no place
// within the bounds of the targets are refused.
func (b *Balancer) enqueue(now time.Time, p *pendingRequest, out []Action) []Action {
	p.nextProbe = now.Add(reprobeInterval)
	if p.queued {
		return out
	}
	p.queued = true
	if b.overload != nil {
		return b.enqueueFair(now, p, out)
	}
	i, _ := slices.BinarySearchFunc(b.queue, p, compareQueued)
	b.queue = slices.Insert(b.queue, i, p)
	return b.refuseThrottled(now, out)
}

// compareQueued orders the queue by priority, then by objective, then by ID.
func compareQueued(x, y *pendingRequest) int {
	return cmp.Or(cmp.Compare(x.Priority, y.Priority), x.Objective.Compare(y.Objective), cmp.Compare(x.ID, y.ID))
}

// queueTooLong reports whether the requests ahead of p would make it miss its objective.
func (b *Balancer) queueTooLong(now time.Time, p *pendingRequest) bool {
	serviceTime := b.serviceTimes.overall.mean
	slots := b.capacity(now, p.Regions, serviceTime)
	if slots == 0 {
		slots = 1
	}
	wait := time.Duration(float64(serviceTime) * float64(b.queuedAhead(p)+1) / slots)
	return now.Add(wait + p.serviceTime).After(p.Objective)
}

// serveQueue dispatches queued requests to targets that have become acceptable by recent
// load reports, and decides on those that can't wait any longer.
func (b *Balancer) serveQueue(now time.Time, out []Action) []Action {
	if len(b.queue) > 0 && !b.anyAvailable() {
		return b.refuseQueue(out)
	}
	if b.overload != nil {
		return b.serveQueueFair(now, out)
	}
	for _, p := range slices.Clone(b.queue) {
		if p.outstanding > 0 {
			continue
		}
		if actions, sent := b.tryDispatch(now, p, out); sent {
			out = actions
			continue
		}
		if !now.Add(p.serviceTime).Before(p.Objective) {
			out = b.waitOrRefuse(now, p, out)
		}
	}
	return b.refuseThrottled(now, out)
}

// refuseQueue refuses all queued requests when no target is available. Otherwise they would
// wait in vain until their objective has passed.
func (b *Balancer) refuseQueue(out []Action) []Action {
	for _, p := range slices.Clone(b.queue) {
		out = b.refuse(p, NoTarget, b.config.MinEjection, out)
	}
	return out
}

// tryDispatch dispatches p to a target that is acceptable by a recent load report.
func (b *Balancer) tryDispatch(now time.Time, p *pendingRequest, out []Action) (actions []Action, sent bool) {
	for _, c := range b.candidates(now, p, maxCandidates) {
		if (now.Sub(c.loadAt) < reprobeInterval || b.mayBeSlow(now, c)) && b.acceptable(now, c, p) {
			return b.dispatch(now, p, c.member, out), true
		}
	}
	return out, false
}

// Tick handles probe timeouts and the queue, and sends the next probes.
func (b *Balancer) Tick(now time.Time, out []Action) []Action {
	b.estimateStale(now)
	for _, p := range b.pending {
		if p.outstanding > 0 && !now.Before(p.probeDeadline) {
			out = b.decide(now, p, out)
		}
	}
	return b.probeForQueue(now, b.serveQueue(now, out))
}

// probeForQueue sends probes for queued requests whose next probes are due. Their time is
// set anew even if no target is usable. Otherwise the timer would be due again at once until
// a target is usable, and keep the CPU busy during an overload.
func (b *Balancer) probeForQueue(now time.Time, out []Action) []Action {
	for _, p := range slices.Clone(b.queue) {
		if !p.queued || !b.probedAgain(p) || p.outstanding > 0 || now.Before(p.nextProbe) {
			continue
		}
		p.nextProbe = now.Add(reprobeInterval)
		if b.anyUsable(now, p) {
			out = b.probe(now, p, out)
		}
	}
	return out
}

// NextTick returns when Tick has to be called next, or the zero time if no call is needed.
func (b *Balancer) NextTick() (at time.Time) {
	needBy := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for _, p := range b.pending {
		if p.outstanding > 0 {
			needBy(p.probeDeadline)
		}
	}
	for _, p := range b.queue {
		if p.outstanding > 0 {
			continue // its probe responses or their timeout come first
		}
		if b.probedAgain(p) {
			needBy(p.nextProbe)
		}
		needBy(p.Objective.Add(-p.serviceTime))
	}
	return at
}

// retryDelay returns the time after which a refused request is likely to find an available
// target: about as long as the queue takes to empty. It is randomized so that requests that
// were refused together don't return together.
func (b *Balancer) retryDelay(serviceTime time.Duration) time.Duration {
	return serviceTime/2 + time.Duration(b.rng.Int64N(int64(serviceTime)+1))
}

// minRetryDelay is the retry delay for a request that was refused by a target although it
// has room. The caller needs a new connection for the retry, which takes longer than that.
const minRetryDelay = 5 * time.Millisecond

// RetryAfter returns the time after which a request that its targets refused is likely to be
// served. If most targets are available and have room, the refusal is a fault and not
// overload, and a longer delay would only make the request late.
func (b *Balancer) RetryAfter(now time.Time) time.Duration {
	if t, all := b.throttled(now, nil); all && !t.until.IsZero() {
		return b.throttledRetryDelay(now, t.until, b.serviceTimes.overall.mean)
	}
	p := &pendingRequest{serviceTime: b.serviceTimes.overall.mean}
	if b.returnsAtOnce(now, p) {
		return minRetryDelay
	}
	withRoom := 0
	for _, m := range b.sorted {
		if !m.excluded() && !m.crowded(m.totalInFlight(now, &b.config)) {
			withRoom++
		}
	}
	if 2*withRoom > len(b.sorted) && len(b.queue) == 0 {
		return minRetryDelay
	}
	return b.refusalDelay(now, p)
}
