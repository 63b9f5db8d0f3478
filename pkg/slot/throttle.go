package slot

import (
	"slices"
	"time"
)

// admits reports whether this entry may send to m now by what m takes: a cold target
// crashes above its bound and takes with it what it was at work on, a target with a limit
// or a pause is in need.
func (b *Book) admits(now time.Time, m *member) bool {
	return !now.Before(m.paused) && b.bears(now, m) && m.limit.admits(now)
}

// allowed tells when this entry may send to m again; ok is false where nothing says when.
func (b *Book) allowed(now time.Time, m *member) (at time.Time, ok bool) {
	at, ok = m.limit.next(now)
	at = later(at, m.paused)
	if !ok || b.bears(now, m) {
		return at, ok
	}
	return later(at, b.thawed(now, m)), true
}

// throttle is a state in which no target may get a request, since each has had what it
// takes.
type throttle struct {
	until time.Time // when one may get a request again; zero where nothing says when
	why   Reason
}

// throttled tells whether all targets that may get requests with these homes have had what
// they take.
func (b *Book) throttled(now time.Time, homes []string) (t throttle, all bool) {
	for _, m := range b.order {
		if m.leaves() || !m.atHome(homes) {
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

// heldBy is why m gets no request now though it is there, the gravest of its reasons.
func (m *member) heldBy(now time.Time) Reason {
	switch {
	case m.limit.named:
		return Limited
	case now.Before(m.paused):
		return Paused
	}
	return Cold
}

// hopeless reports whether s can't be served within its objective since all targets have
// had what they take, and after how long it is best back.
func (b *Book) hopeless(now time.Time, s *seeker) (why Reason, retry time.Duration, ok bool) {
	t, all := b.throttled(now, s.Homes)
	if !all {
		return NoReason, 0, false
	}
	if t.until.IsZero() {
		return t.why, b.cfg.PauseMin, true
	}
	work := s.usual
	if t.why == Cold {
		work *= coldFactor
	}
	if !t.until.Add(work).After(s.Objective) {
		return NoReason, 0, false
	}
	return t.why, b.comeback(now, t.until, s.usual), true
}

// comeback is after how long a request is best back that was refused since all targets
// have had what they take.
func (b *Book) comeback(now, until time.Time, usual time.Duration) time.Duration {
	return max(until.Sub(now), soon) + time.Duration(b.rnd.Int64N(int64(usual)+1))
}

// capacity is how many of the requests of that much work the targets serve at a time.
func (b *Book) capacity(now time.Time, homes []string, work time.Duration) (slots float64) {
	for _, m := range b.order {
		if !m.atHome(homes) || !m.open(now) && (m.inFlight == 0 || m.leaves()) {
			continue
		}
		if m.limit.named {
			slots += min(1, m.limit.perSecond()*work.Seconds())
			continue
		}
		slots++
	}
	return slots
}

// ahead is how many waiting requests are served before s. Those with other homes wait for
// other targets.
func (b *Book) ahead(s *seeker) (n int) {
	for _, q := range b.queue {
		if before(q, s) < 0 && slices.Equal(q.Homes, s.Homes) {
			n++
		}
	}
	return n
}
