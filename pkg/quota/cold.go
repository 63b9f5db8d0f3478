package quota

import "time"

// ColdBound is the number of requests that a cold target of a service may get within any
// second from all entries. The zero value means no bound.
type ColdBound struct {
	Limited      bool
	MaxPerSecond int
}

// NewColdBound returns the bound for targets that can serve rate requests per second while
// cold: rate*factor+slack requests within a second. A rate of 0 means that no bound is
// configured.
func NewColdBound(rate, factor, slack float64) ColdBound {
	if rate <= 0 {
		return ColdBound{}
	}
	return ColdBound{Limited: true, MaxPerSecond: max(int(rate*factor+slack), 1)}
}

const (
	// ColdSpan is the span of a cold target's Limiter: the second of the bound, and 250 ms
	// for requests that were sent before it and are still on their way, such as those that
	// wait for a new connection.
	ColdSpan = time.Second + 250*time.Millisecond
	// maxViews is the number of different views of the senders that entries may hold at the
	// same time. The shares of one view add up to half of the bound.
	maxViews = 2
)

// NewColdShare divides a bound among this number of senders.
func NewColdShare(bound ColdBound, senders int) Share {
	if senders <= 0 {
		return Share{}
	}
	perView := max(bound.MaxPerSecond/maxViews, 1)
	holders := min(maxHolders, senders, perView)
	return Share{Holders: holders, PerHolder: perView / holders, Delay: ColdSpan}
}
