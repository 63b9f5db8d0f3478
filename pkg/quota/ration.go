package quota

import "time"

// Ration is what one entry may send to one target.
type Ration struct {
	target uint64
	holds  bool
	since  time.Time
	last   time.Time
	sent   recent
}

// NewRation returns the ration of a target with that id, without a share. It counts
// requests over span.
func NewRation(id string, span time.Duration) Ration {
	return Ration{target: Hash(id), sent: newRecent(span)}
}

// Deal takes which entries send to the target's service, and so whether this one holds
// a share.
func (r *Ration) Deal(now time.Time, senders Senders, s Share) {
	holds := senders.Holds(r.target, s.Holders)
	if holds && !r.holds {
		r.since = now
	}
	r.holds = holds
}

// Admits reports whether a request may be sent.
func (r *Ration) Admits(now time.Time, s Share) bool {
	return r.holds && now.Sub(r.since) >= s.Wait && now.Sub(r.last) >= s.Gap && r.sent.count(now) < s.Each
}

// Sent notes a request. Those count too that were sent while nothing bounded them: a
// target may become cold or name a limit at any time.
func (r *Ration) Sent(now time.Time) {
	r.last = now
	r.sent.add(now)
}

// Next is when a request may be sent if none is until then; ok is false where this entry
// holds no share.
func (r *Ration) Next(now time.Time, s Share) (at time.Time, ok bool) {
	if !r.holds {
		return at, false
	}
	at = r.sent.free(now, s.Each)
	for _, t := range []time.Time{r.since.Add(s.Wait), r.last.Add(s.Gap)} {
		if t.After(at) {
			at = t
		}
	}
	return at, true
}
