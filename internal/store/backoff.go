package store

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with jitter. The upper bound of the delay
// doubles from Base to Cap, and each delay is uniformly distributed between half
// of that bound and the bound itself.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// DefaultBackoff reaches its cap with the delay after the seventh failure.
var DefaultBackoff = Backoff{Base: 100 * time.Millisecond, Cap: 5 * time.Second}

// Next returns the delay before the next attempt; attempt is 0 after the first
// failure.
//
// All entries see an outage end at the same instant. Without jitter they would
// retry in step and overload the store again. Jitter over half of a delay of
// several seconds keeps the retries of 300 entries below the store's read rate.
func (b Backoff) Next(attempt int, r *rand.Rand) time.Duration {
	d := b.Base
	for i := 0; i < attempt && d < b.Cap; i++ {
		d *= 2
	}
	d = min(d, b.Cap)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}
