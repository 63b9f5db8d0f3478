// Package warmup bounds what targets get that have just started. A cold target bears
// few requests a second and crashes above that, whoever sends them, so the entries
// that may send to it share its bound without asking each other. It does no I/O and
// reads no clock.
//
// Each cold target is dealt to a few of the entries by rendezvous hashing, and each of
// these may send it a fixed number of requests in any second. That needs no message.
// The shares of one view of which entries send sum to half of the bound: while owners
// change, two views may be held at once. A share counts only once it has been held for
// as long as the requests of the one who had it before may take to arrive.
package warmup

import "time"

// Bound is how many requests a cold target of a service may get in any second, over all
// entries. The zero value bounds nothing.
type Bound struct {
	Limited bool
	Most    int
}

// NewBound returns the bound for targets that bear rate requests a second while cold,
// of which factor times as many and slack beyond that are allowed. A rate of 0 says that
// the operator knows of no limit.
func NewBound(rate, factor, slack float64) Bound {
	if rate <= 0 {
		return Bound{}
	}
	return Bound{Limited: true, Most: max(int(rate*factor+slack), 1)}
}

const (
	// Span is the window in which a share counts: the second of the bound, and the
	// time for which requests that were sent before it may still be on their way, as
	// those that wait for a new connection.
	Span = time.Second + 250*time.Millisecond
	// views is how many views of which entries send may be held at once.
	views = 2
	// mostHolders is how many entries share a target where the bound allows it. With
	// one, a target that it deals to an entry without requests is of no use; with many,
	// each may send so little that it can't make up for the others.
	mostHolders = 3
)

// Share is what each holder of a target may send it.
type Share struct {
	Holders int // entries that a target is dealt to
	Each    int // requests of each within Span
}

// NewShare divides a bound among that many senders.
func NewShare(b Bound, senders int) Share {
	if senders <= 0 {
		return Share{}
	}
	whole := max(b.Most/views, 1)
	holders := min(mostHolders, senders, whole)
	return Share{Holders: holders, Each: whole / holders}
}
