package warmup

import "time"

// Ration is what one entry may send to one target while that is cold.
type Ration struct {
	target uint64
	holds  bool
	since  time.Time
	sent   recent
}

// NewRation returns the ration of a target with that id, without a share.
func NewRation(id string) Ration { return Ration{target: Hash(id)} }

// Deal takes which entries send to the target's service, and so whether this one holds
// a share. A share begins to count Span after it was dealt.
func (r *Ration) Deal(now time.Time, senders Senders, s Share) {
	holds := senders.Holds(r.target, s.Holders)
	if holds && !r.holds {
		r.since = now
	}
	r.holds = holds
}

// Admits reports whether a request may be sent.
func (r *Ration) Admits(now time.Time, s Share) bool {
	return r.holds && now.Sub(r.since) >= Span && r.sent.count(now) < s.Each
}

// Sent notes a request. Those to a warm target count too: it may become cold untold.
func (r *Ration) Sent(now time.Time) { r.sent.add(now) }

// Next is when a request may be sent if none is until then; ok is false where this entry
// holds no share.
func (r *Ration) Next(now time.Time, s Share) (at time.Time, ok bool) {
	if !r.holds {
		return at, false
	}
	at = r.sent.free(now, s.Each)
	if from := r.since.Add(Span); from.After(at) {
		at = from
	}
	return at, true
}
