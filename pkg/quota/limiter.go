package quota

import "time"

// Limiter bounds the requests of one entry to one target.
type Limiter struct {
	target      uint64
	holder      bool
	holderSince time.Time
	delay       time.Duration // of the share that it holds
	lostAt      time.Time     // when it last lost its share
	held        time.Duration // how long it had held the share then, at most the delay
	lastSent    time.Time
	sent        slidingCounter
}

// NewLimiter returns a limiter without a share for the target with this ID. It counts
// requests over span.
func NewLimiter(id string, span time.Duration) Limiter {
	return Limiter{target: Hash(id), sent: newSlidingCounter(span)}
}

// Update sets the entries that send to the target's service, which determines whether this
// entry holds a share.
func (l *Limiter) Update(now time.Time, senders Senders, share Share) {
	holds := senders.IsHolder(l.target, share.Holders)
	switch {
	case holds && !l.holder:
		l.holderSince = now
		if share.Resumes {
			l.holderSince = now.Add(-max(l.held-now.Sub(l.lostAt), 0))
		}
	case !holds && l.holder:
		l.lostAt, l.held = now, min(now.Sub(l.holderSince), l.delay, share.Delay)
	}
	l.holder, l.delay = holds, share.Delay
}

// Allows reports whether a request may be sent.
func (l *Limiter) Allows(now time.Time, share Share) bool {
	return l.holder && now.Sub(l.holderSince) >= share.Delay && now.Sub(l.lastSent) >= share.MinInterval && l.sent.count(now) < share.PerHolder
}

// RecordSent counts a request. It has to be called for unbounded requests too: a target may
// become cold or report a limit at any time.
func (l *Limiter) RecordSent(now time.Time) {
	l.lastSent = now
	l.sent.add(now)
}

// NextAllowed returns when a request may be sent if none is sent until then; ok is false if
// this entry holds no share.
func (l *Limiter) NextAllowed(now time.Time, share Share) (at time.Time, ok bool) {
	if !l.holder {
		return at, false
	}
	at = l.sent.freeAt(now, share.PerHolder)
	for _, t := range []time.Time{l.holderSince.Add(share.Delay), l.lastSent.Add(share.MinInterval)} {
		if t.After(at) {
			at = t
		}
	}
	return at, true
}
