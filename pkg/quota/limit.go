package quota

import (
	"math"
	"time"
)

const (
	// limitWindow is the time over which a target measures whether it gets more than its
	// limit.
	limitTime = 4 * time.Second
	// LimitSpan is the span of a limited target's Limiter: limitWindow, and 250 ms for
	// requests that were sent before it and are still on their way.
	LimitSpan = limitTime + 250*time.Millisecond
	// maxInterval bounds the interval between two requests of a holder when the limit is
	// close to zero.
	longestGap = time.Minute
)

// NewLimitShare divides a limit of rate requests per second among the senders. Each holder
// sends at a steady rate and accumulates no unused requests, so that all together hardly
// exceed the limit over any period. Requests that a holder sent before it knew of the limit
// count too.
func NewLimitShare(rate float64, senders int) Share {
	if senders <= 0 || rate <= 0 {
		return Share{}
	}
	holders := min(mostHolders, senders)
	perHolder := rate / float64(holders)
	interval := time.Duration(min(float64(time.Second)/perHolder, float64(longestGap)))
	countedSpan := LimitSpan + LimitSpan/parts
	return Share{
		Holders: holders, Each: 1 + int(math.Ceil(perHolder*countedSpan.Seconds())), Gap: interval, Wait: min(interval, LimitSpan),
	}
}
