package store

import (
	"math/rand/v2"
	"time"
)

// Backoff is the pause between attempts: it doubles from Base to Cap, and each
// pause is drawn evenly from its lower half to its whole.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// DefaultBackoff reaches its cap after six failures.
var DefaultBackoff = Backoff{Base: 100 * time.Millisecond, Cap: 5 * time.Second}

// Next returns the pause after a number of failed attempts, 0 for the first.
//
// All entries see an outage end at the same instant. Without jitter they would
// call together at each step and take the store down again; a draw over half
// of a pause of seconds spreads 300 entries thinner than the read rate.
func (b Backoff) Next(attempt int, r *rand.Rand) time.Duration {
	d := b.Base
	for i := 0; i < attempt && d < b.Cap; i++ {
		d *= 2
	}
	d = min(d, b.Cap)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
