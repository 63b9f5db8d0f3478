package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// targetLimit is the limit that a target reports, and this entry's share of it. Without a
// reported limit nothing is held back.
type limit struct {
	rate  float64 // requests per second from all entries
	named bool
	since time.Time // when it was first reported
	at    time.Time // when it was last reported
	// inProbes reports whether the target has included the limit in the answer to a probe.
	// Only then does an answer without a limit end it.
	asked  bool
	share  quota.Share
	ration quota.Ration
}

func newLimit(target string) limit {
	return limit{ration: quota.NewRation(target, quota.LimitSpan)}
}

// update applies a report from the response to a request or a probe that was sent at the
// time sent, and reports whether the limit has changed. A response may be older than the
// last report of a limit if its request was sent before that report; it neither raises nor
// ends the limit.
func (l *limit) take(now, sent time.Time, r Report, isProbe bool) (changed bool) {
	stale := sent.Before(l.at)
	switch {
	case r.Limited && l.named && r.Limit > l.rate && stale:
		return false
	case r.Limited:
		l.asked = l.asked || isProbe
		changed = !l.named || l.rate != r.Limit
		if !l.named {
			l.since = now
		}
		l.named, l.rate, l.at = true, r.Limit, now
		return changed
	case r.Unlimited && l.named && !stale && (!isProbe || l.asked):
		l.named, l.rate = false, 0
		return true
	}
	return false
}

// updateShare sets the entries that send to the target.
func (l *limit) deal(now time.Time, senders quota.Senders) {
	l.share = quota.Share{}
	if l.named {
		l.share = quota.NewLimitShare(l.rate, senders.Len())
	}
	l.ration.Deal(now, senders, l.share)
}

func (l *limit) admits(now time.Time) bool {
	return !l.named || l.ration.Admits(now, l.share)
}

// nextAdmitted returns when the limit lets this entry send again; ok is false if it never
// does.
func (l *limit) next(now time.Time) (at time.Time, ok bool) {
	if !l.named {
		return now, true
	}
	return l.ration.Next(now, l.share)
}

// perSecond returns the highest rate of requests per second that this entry may send.
func (l *limit) perSecond() float64 {
	if l.share.Gap <= 0 {
		return 0
	}
	return 1 / l.share.Gap.Seconds()
}

// limitProbeInterval is the time without a report after which an entry probes a limited
// target. An entry that may send nothing to the target would never learn otherwise that the
// limit has ended.
const limitCheck = 500 * time.Millisecond

// limitProbeDue reports whether the target has to be probed for its limit. A target that
// doesn't include its limit in answers to probes isn't probed.
func (m *member) due(now time.Time) bool {
	l := &m.limit
	return l.named && !m.asking && !m.leaves() && !now.Before(m.paused) && now.Sub(later(l.at, m.askedAt)) >= limitCheck && (l.asked || m.askedAt.Before(l.since))
}

func (b *Book) countLimited() {
	b.limited = 0
	for _, m := range b.order {
		if m.limit.named {
			b.limited++
		}
	}
}

// probeLimits probes targets whether they still have a limit.
func (b *Book) checkLimits(now time.Time, out []Action) []Action {
	if b.limited == 0 {
		return out
	}
	for _, m := range b.order {
		if m.due(now) {
			m.asking, m.askedAt = true, now
			out = append(out, Action{Do: Ask, Target: m.Target})
		}
	}
	return out
}
