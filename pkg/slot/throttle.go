package slot

import (
	"math"
	"slices"
	"time"
)

// admits reports whether this entry may send to m now by its cold bound, its limit and its
// pause. A cold target crashes above its bound and loses the requests that it runs. A target
// with a limit or a pause is overloaded.
func (b *Balancer) admits(now time.Time, m *member) bool {
	return !now.Before(m.pausedUntil) && b.admitsCold(now, m) && m.limit.admits(now)
}

// nextAdmitted returns when this entry may send to m again; ok is false if that is unknown.
func (b *Balancer) nextAdmitted(now time.Time, m *member) (at time.Time, ok bool) {
	at, ok = m.limit.nextAdmitted(now)
	at = latest(at, m.pausedUntil)
	if !ok || b.admitsCold(now, m) {
		return at, ok
	}
	return latest(at, b.nextAdmittedCold(now, m)), true
}

// throttle is the state in which no target may get a request because all are at their
// bounds.
type throttle struct {
	until  time.Time // when a target may get a request again; zero if unknown
	reason Reason
}

// throttled reports whether all available targets for requests with these regions are at
// their bounds.
func (b *Balancer) throttled(now time.Time, regions []string) (t throttle, all bool) {
	for _, m := range b.sorted {
		if m.excluded() || !m.inRegions(regions) {
			continue
		}
		if b.admits(now, m) {
			return t, false
		}
		if at, ok := b.nextAdmitted(now, m); ok {
			t.until = earliest(t.until, at)
		}
		all = true
		t.reason = max(t.reason, m.throttleReason(now))
	}
	return t, all
}

// throttleReason returns why m may get no request now. The most severe reason takes
// precedence.
func (m *member) throttleReason(now time.Time) Reason {
	switch {
	case m.limit.set:
		return Limited
	case now.Before(m.pausedUntil):
		return Paused
	}
	return Cold
}

// throttledPastObjective reports whether p can't meet its objective because all targets are
// at their bounds, and returns the time after which to retry.
func (b *Balancer) throttledPastObjective(now time.Time, p *pendingRequest) (reason Reason, retryAfter time.Duration, ok bool) {
	t, all := b.throttled(now, p.Regions)
	if !all || !t.pastObjective(p) {
		return NoReason, 0, false
	}
	return t.reason, b.throttledRetryAfter(now, t, p), true
}

// pastObjective reports whether p can't meet its objective in this state.
func (t throttle) pastObjective(p *pendingRequest) bool {
	return t.until.IsZero() || t.until.After(t.latestStart(p))
}

// latestStart returns when p has to be dispatched to meet its objective.
func (t throttle) latestStart(p *pendingRequest) time.Time {
	if t.reason == Cold {
		return p.Objective.Add(-coldFactor * p.serviceTime)
	}
	return p.Objective.Add(-p.serviceTime)
}

// throttledRetryAfter returns the time after which to retry a request that is refused in this
// state.
func (b *Balancer) throttledRetryAfter(now time.Time, t throttle, p *pendingRequest) time.Duration {
	if t.until.IsZero() {
		return b.config.MinEjection
	}
	return b.throttledRetryDelay(now, t.until, p.serviceTime)
}

// opening is when a target at its bounds may get requests of this entry again.
type opening struct {
	at       time.Time
	interval time.Duration // between two requests from then on; 0 if no such bound is known
}

// openings returns when the targets for requests with these regions may get requests again, if
// all of them are at their bounds.
func (b *Balancer) openings(now time.Time, regions []string) (list []opening) {
	for _, m := range b.sorted {
		if m.excluded() || !m.inRegions(regions) {
			continue
		}
		if at, ok := b.nextAdmitted(now, m); ok {
			list = append(list, opening{at, m.limit.share.MinInterval})
		}
	}
	return list
}

// requestsUntil returns the greatest number of requests that the bounds allow until a time.
func requestsUntil(list []opening, until time.Time) (n int) {
	for _, o := range list {
		switch {
		case o.at.After(until):
		case o.interval <= 0:
			return math.MaxInt
		default:
			n += 1 + int(until.Sub(o.at)/o.interval)
		}
	}
	return n
}

// throttledQueue is the part of the queue whose requests have the same regions.
type throttledQueue struct {
	throttle
	all      bool // all targets for these requests are at their bounds
	openings []opening
	ahead    int // requests before the one at hand
}

// refuseThrottled refuses the queued requests that can't meet their objectives because all
// targets for them are at their bounds. A target may have reported a limit or asked for a pause
// since they were queued, or the requests ahead of them use up what the limits allow. They would
// wait in vain until their objectives.
func (b *Balancer) refuseThrottled(now time.Time, out []Action) []Action {
	if len(b.queue) == 0 {
		return out
	}
	parts := make(map[string]*throttledQueue) // by the regions of requests
	var list []*pendingRequest
	for _, p := range b.queue {
		q := parts[p.region]
		if q == nil {
			q = &throttledQueue{}
			parts[p.region] = q
			if q.throttle, q.all = b.throttled(now, p.Regions); q.all {
				q.openings = b.openings(now, p.Regions)
			}
		}
		if !q.all {
			continue
		}
		if p.outstanding == 0 && requestsUntil(q.openings, q.latestStart(p)) <= q.ahead {
			list = append(list, p)
			continue
		}
		q.ahead++
	}
	for _, p := range list {
		t := parts[p.region].throttle
		out = b.refuse(p, t.reason, b.throttledRetryAfter(now, t, p), out)
	}
	return out
}

// throttledRetryDelay returns the time after which to retry a request that was refused
// because all targets are at their bounds.
func (b *Balancer) throttledRetryDelay(now, until time.Time, serviceTime time.Duration) time.Duration {
	return max(until.Sub(now), minRetryDelay) + time.Duration(b.rng.Int64N(int64(serviceTime)+1))
}

// capacity returns the number of requests with this service time that the targets serve at
// once.
func (b *Balancer) capacity(now time.Time, regions []string, serviceTime time.Duration) (slots float64) {
	for _, m := range b.sorted {
		if !m.inRegions(regions) || !m.acceptsRequests(now) && (m.inFlight == 0 || m.excluded()) {
			continue
		}
		if m.limit.set {
			slots += min(1, m.limit.perSecond()*serviceTime.Seconds())
			continue
		}
		slots++
	}
	return slots
}

// queuedAhead returns the number of queued requests that are served before p. Requests with
// other regions don't count: they wait for other targets.
func (b *Balancer) queuedAhead(p *pendingRequest) (n int) {
	for _, q := range b.queue {
		if compareQueued(q, p) < 0 && slices.Equal(q.Regions, p.Regions) {
			n++
		}
	}
	return n
}
