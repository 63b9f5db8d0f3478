package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// targetLimit is the limit that a target reports, and this entry's share of it. Without a
// reported limit nothing is held back.
type targetLimit struct {
	rate       float64 // requests per second from all entries
	set        bool
	setAt      time.Time // when it was first reported
	reportedAt time.Time // when it was last reported
	// inProbes reports whether the target has included the limit in the response to a probe.
	// Only then does a response without a limit end it.
	inProbes bool
	share    quota.Share
	limiter  quota.Limiter
}

func newTargetLimit(target string) targetLimit {
	return targetLimit{limiter: quota.NewLimiter(target, quota.LimitSpan)}
}

// update applies a report from the response to a request or a probe that was sent at the
// time sent, and reports whether the limit has changed. A response may be older than the
// last report of a limit if its request was sent before that report; such a response neither
// raises nor ends the limit.
func (l *targetLimit) update(now, sent time.Time, r Report, isProbe bool) (changed bool) {
	stale := sent.Before(l.reportedAt)
	switch {
	case r.HasLimit && l.set && r.Limit > l.rate && stale:
		return false
	case r.HasLimit:
		l.inProbes = l.inProbes || isProbe
		changed = !l.set || l.rate != r.Limit
		if !l.set {
			l.setAt = now
		}
		l.set, l.rate, l.reportedAt = true, r.Limit, now
		return changed
	case r.Unlimited && l.set && !stale && (!isProbe || l.inProbes):
		l.set, l.rate = false, 0
		return true
	}
	return false
}

// updateShare sets the entries that send to the target.
func (l *targetLimit) updateShare(now time.Time, senders quota.Senders) {
	l.share = quota.Share{}
	if l.set {
		l.share = quota.NewLimitShare(l.rate, senders.Len())
	}
	l.limiter.Update(now, senders, l.share)
}

func (l *targetLimit) admits(now time.Time) bool {
	return !l.set || l.limiter.Allows(now, l.share)
}

// nextAdmitted returns when the limit lets this entry send again; ok is false if it never
// does.
func (l *targetLimit) nextAdmitted(now time.Time) (at time.Time, ok bool) {
	if !l.set {
		return now, true
	}
	return l.limiter.NextAllowed(now, l.share)
}

// perSecond returns the highest rate of requests per second that this entry may send.
func (l *targetLimit) perSecond() float64 {
	if l.share.MinInterval <= 0 {
		return 0
	}
	return 1 / l.share.MinInterval.Seconds()
}

// limitProbeInterval is the time without a report after which an entry probes a limited
// target. An entry that may send nothing to the target would never learn otherwise that the
// limit has ended.
const limitProbeInterval = 500 * time.Millisecond

// limitProbeDue reports whether the target has to be probed for its limit. A target that
// doesn't include its limit in responses to probes isn't probed.
func (m *member) limitProbeDue(now time.Time) bool {
	l := &m.limit
	return l.set && !m.probing && !m.excluded() && !now.Before(m.pausedUntil) && now.Sub(latest(l.reportedAt, m.probedAt)) >= limitProbeInterval && (l.inProbes || m.probedAt.Before(l.setAt))
}

func (b *Balancer) countLimited() {
	b.limitedTargets = 0
	for _, m := range b.sorted {
		if m.limit.set {
			b.limitedTargets++
		}
	}
}

// probeLimits probes limited targets to learn whether their limit has changed or ended.
func (b *Balancer) probeLimits(now time.Time, out []Action) []Action {
	if b.limitedTargets == 0 {
		return out
	}
	for _, m := range b.sorted {
		if m.limitProbeDue(now) && b.probeLimit.take(now, false) {
			m.probing, m.probedAt = true, now
			out = append(out, Action{Kind: SendProbe, Target: m.Target})
		}
	}
	return out
}
