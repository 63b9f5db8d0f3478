package slot

import "time"

// Report is what a target says of itself in a response. The zero value says nothing.
type Report struct {
	Load    Load
	Loaded  bool    // whether Load was given
	Limit   float64 // requests a second that it takes from all entries together
	Limited bool    // whether Limit was given
	// Unlimited says that a response was read that names no limit. Where a limit
	// can't be read, neither is set.
	Unlimited bool
}

// limit is what a target has reported of its limit. The zero value is none.
type limit struct {
	rate  float64
	named bool
	since time.Time // when it was first named
	at    time.Time // when it was last named
	// asked says that the target has named it in the answer to a question. Only then
	// does such an answer without a limit end one.
	asked bool
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
		*l = limit{at: l.at, asked: l.asked}
		return true
	}
	return false
}
