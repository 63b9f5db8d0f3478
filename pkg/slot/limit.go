package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// limit is what a target has reported of its limit, and what this entry may send to it
// under that. Nothing is held back while none is named.
type limit struct {
	rate  float64 // requests a second, from all entries
	named bool
	since time.Time // when it was first named
	at    time.Time // when it was last named
	// asked says that the target has named it in the answer to a question. Only then
	// does such an answer without a limit end one.
	asked  bool
	share  quota.Share
	ration quota.Ration
}

func newLimit(target string) limit {
	return limit{ration: quota.NewRation(target, quota.LimitSpan)}
}

// take takes a report on a request or a question that was sent at that time, and tells
// whether the limit has changed. A response that may have been made before the last one
// that named a limit neither raises nor ends it.
func (l *limit) take(now, sent time.Time, r Report, question bool) (changed bool) {
	stale := sent.Before(l.at)
	switch {
	case r.Limited && l.named && r.Limit > l.rate && stale:
		return false
	case r.Limited:
		l.asked = l.asked || question
		changed = !l.named || l.rate != r.Limit
		if !l.named {
			l.since = now
		}
		l.named, l.rate, l.at = true, r.Limit, now
		return changed
	case r.Unlimited && l.named && !stale && (!question || l.asked):
		l.named, l.rate = false, 0
		return true
	}
	return false
}

// deal takes which entries send to the target.
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

// next is when the limit lets this entry send again; ok is false where it never does.
func (l *limit) next(now time.Time) (at time.Time, ok bool) {
	if !l.named {
		return now, true
	}
	return l.ration.Next(now, l.share)
}

// perSecond is how many requests a second this entry may send at the most.
func (l *limit) perSecond() float64 {
	if l.share.Gap <= 0 {
		return 0
	}
	return 1 / l.share.Gap.Seconds()
}

// limitCheck is how long an entry that may send nothing to a limited target goes without
// word from it. Without a question it would never learn that the limit has ended.
const limitCheck = 500 * time.Millisecond

// due reports whether the target has to be asked for its limit. One that doesn't name it
// in its answers to questions isn't asked.
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

// checkLimits asks targets whether they still have a limit.
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
