package slot

import (
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
	if !all {
		return NoReason, 0, false
	}
	if t.until.IsZero() {
		return t.reason, b.config.MinEjection, true
	}
	serviceTime := p.serviceTime
	if t.reason == Cold {
		serviceTime *= coldFactor
	}
	if !t.until.Add(serviceTime).After(p.Objective) {
		return NoReason, 0, false
	}
	return t.reason, b.throttledRetryDelay(now, t.until, p.serviceTime), true
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
