package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// Warmup describes the cold targets of a service, those that have just started.
type Warmup struct {
	Bound quota.ColdBound
	Time  time.Duration // of the warm-up
}

// SetWarmup sets the configuration of cold targets.
func (b *Book) Warmup(now time.Time, w Warmup) {
	if w == b.warmup {
		return
	}
	b.warmup = w
	b.deal(now)
}

// SetSenders sets the entries that send to the service. While there are none, as at an entry
// that is isolated from the others, cold targets get no requests.
func (b *Book) Senders(now time.Time, s quota.Senders) {
	b.senders = s
	b.deal(now)
}

// updateShares determines the targets of which this entry holds a share.
func (b *Book) deal(now time.Time) {
	b.share = quota.NewColdShare(b.warmup.Bound, b.senders.Len())
	for _, m := range b.order {
		m.ration.Deal(now, b.senders, b.share)
		if m.limit.named {
			m.limit.deal(now, b.senders)
		}
	}
}

// admitsCold reports whether the bound for cold targets lets this entry send to m now.
func (b *Book) bears(now time.Time, m *member) bool {
	if !m.isCold(now) || !b.warmup.Bound.Limited {
		return true
	}
	return m.ration.Admits(now, b.share)
}

// nextAdmittedCold returns when m has warmed up or, if earlier, when this entry may send a
// request to it while it is cold.
func (b *Book) thawed(now time.Time, m *member) time.Time {
	at := m.cold
	if next, ok := m.ration.Next(now, b.share); ok {
		at = soonest(at, next)
	}
	return at
}

// evacuationEnded handles the end of the evacuation of a target's failure domain. The target
// may have become cold meanwhile and wasn't probed, so it counts as cold until it reports
// otherwise.
func (b *Book) returns(now time.Time, m *member) {
	m.cold = later(m.cold, now.Add(b.warmup.Time))
}

// earliest returns the earlier of two times; the zero time counts as unset.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// isCold reports whether the target's warm-up is still in progress.
func (m *member) isCold(now time.Time) bool { return !m.cold.IsZero() && now.Before(m.cold) }
