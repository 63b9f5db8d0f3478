package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// Warmup describes the cold targets of a service, those that have just started.
type Warmup struct {
	Bound    quota.ColdBound
	Duration time.Duration // of the warm-up
}

// SetWarmup sets the configuration of cold targets.
func (b *Balancer) SetWarmup(now time.Time, w Warmup) {
	if w == b.warmup {
		return
	}
	b.warmup = w
	b.updateShares(now)
}

// SetSenders sets the entries that send to the service. While there are none, as at an entry
// that is isolated from the others, cold targets get no requests.
func (b *Balancer) SetSenders(now time.Time, s quota.Senders) {
	b.senders = s
	b.updateShares(now)
}

// updateShares determines the targets of which this entry holds a share.
func (b *Balancer) updateShares(now time.Time) {
	b.coldShare = quota.NewColdShare(b.warmup.Bound, b.senders.Len())
	for _, m := range b.sorted {
		m.coldLimiter.Update(now, b.senders, b.coldShare)
		if m.limit.set {
			m.limit.updateShare(now, b.senders)
		}
	}
}

// admitsCold reports whether the bound for cold targets lets this entry send to m now.
func (b *Balancer) admitsCold(now time.Time, m *member) bool {
	if !m.isCold(now) || !b.warmup.Bound.Limited {
		return true
	}
	return m.coldLimiter.Allows(now, b.coldShare)
}

// nextAdmittedCold returns when m has warmed up or, if earlier, when this entry may send a
// request to it while it is cold.
func (b *Balancer) nextAdmittedCold(now time.Time, m *member) time.Time {
	at := m.coldUntil
	if next, ok := m.coldLimiter.NextAllowed(now, b.coldShare); ok {
		at = earliest(at, next)
	}
	return at
}

// evacuationEnded handles the end of the evacuation of a target's failure domain. The target
// may have become cold meanwhile and wasn't probed, so it counts as cold until it reports
// otherwise.
func (b *Balancer) evacuationEnded(now time.Time, m *member) {
	m.coldUntil = latest(m.coldUntil, now.Add(b.warmup.Duration))
}

// earliest returns the earlier of two times, or b if a is the zero time.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// isCold reports whether the target's warm-up is still in progress.
func (m *member) isCold(now time.Time) bool { return !m.coldUntil.IsZero() && now.Before(m.coldUntil) }
