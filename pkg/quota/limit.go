package quota

import (
	"math"
	"time"
)

const (
	// limitTime is the time over which a target measures whether it gets more than the
	// limit that it names.
	limitTime = 4 * time.Second
	// LimitSpan is the span of a limited target's Ration: limitTime, and the time for
	// which requests that were sent before it may still be on their way.
	LimitSpan = limitTime + 250*time.Millisecond
	// longestGap bounds the gap between two requests of a holder, for limits that come
	// to nearly nothing.
	longestGap = time.Minute
)

// NewLimitShare divides a limit of that many requests a second among the senders. Each
// holder sends at a steady pace and saves nothing up, so that all together send hardly
// more than the limit in any time. What one had sent before it knew of the limit counts
// as well.
func NewLimitShare(rate float64, senders int) Share {
	if senders <= 0 || rate <= 0 {
		return Share{}
	}
	holders := min(mostHolders, senders)
	each := rate / float64(holders)
	gap := time.Duration(min(float64(time.Second)/each, float64(longestGap)))
	counted := LimitSpan + LimitSpan/parts
	return Share{
		Holders: holders, Each: 1 + int(math.Ceil(each*counted.Seconds())), Gap: gap, Wait: min(gap, LimitSpan),
	}
}
