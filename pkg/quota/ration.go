package quota

import "time"

// Limiter bounds the requests of one entry to one target.
type Ration struct {
	target uint64
	holds  bool
	since  time.Time
	last   time.Time
	sent   recent
}

// NewLimiter returns a limiter without a share for the target with this ID. It counts
// requests over span.
func NewRation(id string, span time.Duration) Ration {
	return Ration{target: Hash(id), sent: newRecent(span)}
}

// Update sets the entries that send to the target's service, which determines whether this
// entry holds a share.
func (l *Ration) Deal(now time.Time, senders Senders, share Share) {
	holds := senders.Holds(l.target, share.Holders)
	if holds && !l.holds {
		l.since = now
	}
	l.holds = holds
}

// Allows reports whether a request may be sent.
func (l *Ration) Admits(now time.Time, share Share) bool {
	return l.holds && now.Sub(l.since) >= share.Wait && now.Sub(l.last) >= share.Gap && l.sent.count(now) < share.Each
}

// RecordSent counts a request. It has to be called for unbounded requests too: a target may
// become cold or report a limit at any time.
func (l *Ration) Sent(now time.Time) {
	l.last = now
	l.sent.add(now)
}

// NextAllowed returns when a request may be sent if none is sent until then; ok is false if
// this entry holds no share.
func (l *Ration) Next(now time.Time, share Share) (at time.Time, ok bool) {
	if !l.holds {
		return at, false
	}
	at = l.sent.free(now, share.Each)
	for _, t := range []time.Time{l.since.Add(share.Wait), l.last.Add(share.Gap)} {
		if t.After(at) {
			at = t
		}
	}
	return at, true
}
