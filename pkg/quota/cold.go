package quota

import "time"

// ColdBound is how many requests a cold target of a service may get in any second, over
// all entries. The zero value bounds nothing.
type ColdBound struct {
	Limited bool
	Most    int
}

// NewColdBound returns the bound for targets that bear rate requests a second while cold,
// of which factor times as many and slack beyond that are allowed. A rate of 0 says that
// the operator knows of no limit.
func NewColdBound(rate, factor, slack float64) ColdBound {
	if rate <= 0 {
		return ColdBound{}
	}
	return ColdBound{Limited: true, Most: max(int(rate*factor+slack), 1)}
}

const (
	// ColdSpan is the span of a cold target's Ration: the second of the bound, and the
	// time for which requests that were sent before it may still be on their way, as
	// those that wait for a new connection.
	ColdSpan = time.Second + 250*time.Millisecond
	// views is how many views of which entries send may be held at once: the shares of
	// one of them sum to half of the bound.
	views = 2
)

// NewColdShare divides a bound among that many senders.
func NewColdShare(b ColdBound, senders int) Share {
	if senders <= 0 {
		return Share{}
	}
	whole := max(b.Most/views, 1)
	holders := min(mostHolders, senders, whole)
	return Share{Holders: holders, Each: whole / holders, Wait: ColdSpan}
}
