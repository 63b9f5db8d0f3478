package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

// rate measures the request rate as an exponential moving average.
type rate struct {
	count atomic.Int64
	seen  int64 // count at the last tick
	at    time.Time
	mean  float64 // requests per second
}

// rateHalfLife is the half-life of the average: short enough to follow a burst of a few
// seconds, and much longer than a tick.
const rateHalf = 700 * time.Millisecond

func (r *rate) add() { r.count.Add(1) }

// tick updates the average. Only the control loop calls it.
func (r *rate) tick(now time.Time) {
	count := r.count.Load()
	if elapsed := now.Sub(r.at).Seconds(); !r.at.IsZero() && elapsed > 0 {
		weight := 1 - math.Exp2(-elapsed/rateHalf.Seconds())
		r.mean += (float64(count-r.seen)/elapsed - r.mean) * weight
	}
	r.seen, r.at = count, now
}
