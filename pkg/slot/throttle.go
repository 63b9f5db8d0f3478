package slot

import (
	"slices"
	"time"
)

// admits reports whether this entry may send to m now by its cold bound, its limit and its
// pause. A cold target crashes above its bound and loses the requests that it runs. A target
// with a limit or a pause is overloaded.
func (b *Book) admits(now time.Time, m *member) bool {
	return !now.Before(m.paused) && b.bears(now, m) && m.limit.admits(now)
}

// nextAdmitted returns when this entry may send to m again; ok is false if that is unknown.
func (b *Book) allowed(now time.Time, m *member) (at time.Time, ok bool) {
	at, ok = m.limit.next(now)
	at = later(at, m.paused)
	if !ok || b.bears(now, m) {
		return at, ok
	}
	return later(at, b.thawed(now, m)), true
}

// throttle is the state in which no target may get a request because all are at their
// bounds.
type throttle struct {
	until time.Time // when a target may get a request again; zero if unknown
	why   Reason
}

// throttled reports whether all available targets for requests with these regions are at
// their bounds.
func (b *Book) throttled(now time.Time, regions []string) (t throttle, all bool) {
	for _, m := range b.order {
		if m.leaves() || !m.atHome(regions) {
			continue
		}
		if b.admits(now, m) {
			return t, false
		}
		if at, ok := b.allowed(now, m); ok {
			t.until = soonest(t.until, at)
		}
		all = true
		t.why = max(t.why, m.heldBy(now))
	}
	return t, all
}

// throttleReason returns why m may get no request now. The most severe reason takes
// precedence.
func (m *member) heldBy(now time.Time) Reason {
	switch {
	case m.limit.named:
		return Limited
	case now.Before(m.paused):
		return Paused
	}
	return Cold
}

// throttledPastObjective reports whether s can't meet its objective because all targets are
// at their bounds, and returns the time after which to retry.
func (b *Book) hopeless(now time.Time, s *seeker) (reason Reason, retryAfter time.Duration, ok bool) {
	t, all := b.throttled(now, s.Homes)
	if !all {
		return NoReason, 0, false
	}
	if t.until.IsZero() {
		return t.why, b.cfg.PauseMin, true
	}
	serviceTime := s.usual
	if t.why == Cold {
		serviceTime *= coldFactor
	}
	if !t.until.Add(serviceTime).After(s.Objective) {
		return NoReason, 0, false
	}
	return t.why, b.comeback(now, t.until, s.usual), true
}

// throttledRetryDelay returns the time after which to retry a request that was refused
// because all targets are at their bounds.
func (b *Book) comeback(now, until time.Time, serviceTime time.Duration) time.Duration {
	return max(until.Sub(now), soon) + time.Duration(b.rnd.Int64N(int64(serviceTime)+1))
}

// capacity returns the number of requests with this service time that the targets serve at
// once.
func (b *Book) capacity(now time.Time, regions []string, serviceTime time.Duration) (slots float64) {
	for _, m := range b.order {
		if !m.atHome(regions) || !m.open(now) && (m.inFlight == 0 || m.leaves()) {
			continue
		}
		if m.limit.named {
			slots += min(1, m.limit.perSecond()*serviceTime.Seconds())
			continue
		}
		slots++
	}
	return slots
}

// queuedAhead returns the number of queued requests that are served before s. Requests with
// other regions don't count: they wait for other targets.
func (b *Book) ahead(s *seeker) (n int) {
	for _, q := range b.queue {
		if before(q, s) < 0 && slices.Equal(q.Homes, s.Homes) {
			n++
		}
	}
	return n
}
