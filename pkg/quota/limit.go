package quota

import (
	"math"
	"time"
)

const (
	// limitWindow is the time over which a target measures whether it gets more than its
	// limit.
	limitWindow = 4 * time.Second
	// LimitSpan is the span of a limited target's Limiter: limitWindow, and 250 ms for
	// requests that were sent before it and are still on their way.
	LimitSpan = limitWindow + 250*time.Millisecond
	// maxInterval bounds the interval between two requests of a holder when the limit is
	// close to zero.
	maxInterval = time.Minute
)

// NewLimitShare divides a limit of rate requests per second among the senders. Each holder
// sends at a steady rate and accumulates no unused requests, so that all together hardly
// exceed the limit over any period. Requests that a holder sent before it knew of the limit
// count too.
func NewLimitShare(rate float64, senders int) Share {
	if senders <= 0 || rate <= 0 {
		return Share{}
	}
	holders := min(maxHolders, senders)
	perHolder := rate / float64(holders)
	interval := time.Duration(min(float64(time.Second)/perHolder, float64(maxInterval)))
	countedSpan := LimitSpan + LimitSpan/buckets
	return Share{
		Holders: holders, PerHolder: 1 + int(math.Ceil(perHolder*countedSpan.Seconds())), MinInterval: interval, Delay: min(interval, LimitSpan), Resumes: true,
	}
}
