package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

// rate counts requests and tells how many a second there are.
type rate struct {
	count atomic.Int64
	seen  int64
	at    time.Time
	mean  float64 // requests a second
}

// rateHalf is the time in which the mean goes half of the way to a new rate:
// within a burst of a few seconds, and well over a tick.
const rateHalf = 700 * time.Millisecond

func (r *rate) add() { r.count.Add(1) }

// tick brings the mean up to date. It has one caller.
func (r *rate) tick(now time.Time) {
	count := r.count.Load()
	if took := now.Sub(r.at).Seconds(); !r.at.IsZero() && took > 0 {
		weight := 1 - math.Exp2(-took/rateHalf.Seconds())
		r.mean += (float64(count-r.seen)/took - r.mean) * weight
	}
	r.seen, r.at = count, now
}
