package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// Warmup is what is known of the targets of a service that have just started.
type Warmup struct {
	Bound quota.ColdBound
	Time  time.Duration // for which they are cold
}

// Warmup takes what the configuration says of cold targets.
func (b *Book) Warmup(now time.Time, w Warmup) {
	if w == b.warmup {
		return
	}
	b.warmup = w
	b.deal(now)
}

// Senders takes which entries send to the service. While there are none, as at an entry
// that is cut off from the others, cold targets get nothing.
func (b *Book) Senders(now time.Time, s quota.Senders) {
	b.senders = s
	b.deal(now)
}

// deal works out which targets this entry holds a share of.
func (b *Book) deal(now time.Time) {
	b.share = quota.NewColdShare(b.warmup.Bound, b.senders.Len())
	for _, m := range b.order {
		m.ration.Deal(now, b.senders, b.share)
		if m.limit.named {
			m.limit.deal(now, b.senders)
		}
	}
}

// bears reports whether the bound on what a cold target gets lets this entry send to m.
func (b *Book) bears(now time.Time, m *member) bool {
	if !m.isCold(now) || !b.warmup.Bound.Limited {
		return true
	}
	return m.ration.Admits(now, b.share)
}

// thawed is when m is warm or, if that is sooner, when this entry may send it a request
// while it is cold.
func (b *Book) thawed(now time.Time, m *member) time.Time {
	at := m.cold
	if next, ok := m.ration.Next(now, b.share); ok {
		at = soonest(at, next)
	}
	return at
}

// returns notes that a target's failure domain is in use again. It may have become cold
// meanwhile and can't have been asked, so it counts as cold until it says something else.
func (b *Book) returns(now time.Time, m *member) {
	m.cold = later(m.cold, now.Add(b.warmup.Time))
}

// soonest returns the earlier of two times of which either may not be set.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// isCold reports whether the target has just started, as far as is known.
func (m *member) isCold(now time.Time) bool { return !m.cold.IsZero() && now.Before(m.cold) }
