package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

// rate measures the request rate as an exponential moving average.
type rate struct {
	count     atomic.Int64
	lastCount int64 // count at the last tick
	lastTick  time.Time
	mean      float64 // requests per second
}

// rateHalfLife is the half-life of the average: short enough to follow a burst of a few
// seconds, and much longer than a tick.
const rateHalfLife = 700 * time.Millisecond

func (r *rate) add() { r.count.Add(1) }

// tick updates the average. Only the control loop calls it.
func (r *rate) tick(now time.Time) {
	count := r.count.Load()
	if elapsed := now.Sub(r.lastTick).Seconds(); !r.lastTick.IsZero() && elapsed > 0 {
		weight := 1 - math.Exp2(-elapsed/rateHalfLife.Seconds())
		r.mean += (float64(count-r.lastCount)/elapsed - r.mean) * weight
	}
	r.lastCount, r.lastTick = count, now
}
