package call

import (
	"math"
	"sync"
	"time"
)

// Patience tells, from how long callers of a route still wait, how long one of
// them has been waiting already: one that comes back after a refusal has less
// time left than it had at first.
//
// That is knowledge only where many callers begin with the same time. Where the
// times of first attempts differ from caller to caller, a short one says
// nothing: taken for a return, every second first attempt would be refused as
// too late on an idle service. So Patience learns which times come again and
// again, to the millisecond; a return's time is worn down by the network and the
// wait, and hardly ever the same twice. It is safe for concurrent use.
type Patience struct {
	mu     sync.Mutex
	seen   int // attempts, those of long ago count less
	common [commonTimes]commonTime
}

// commonTime is a time that was left to callers, and how often.
type commonTime struct {
	left  time.Duration
	count int
}

const (
	// commonTimes is how many different times are counted at once. A time that
	// more than one in nine callers have is among them for certain.
	commonTimes = 8
	// fewestSeen is how many attempts must have come before any time counts: four
	// of them have a common one then, where two may be the same by chance.
	fewestSeen = 32
	// commonShare is the part of all attempts from which on a time counts as one
	// that callers begin with: one in eight. Times spread over 100 ms have one in
	// a hundred each; of callers that share one, half still begin with it where
	// every request is refused and comes back once.
	commonShare = 8
	// seenMost is the number of attempts at which all counts are halved, so that
	// callers who change are known after some hundred.
	seenMost = 256
)

// Elapsed takes how long a caller still waits, and returns how long it has been
// waiting already, as far as is known.
func (p *Patience) Elapsed(left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(left.Truncate(time.Millisecond))
	if p.seen < fewestSeen {
		return 0
	}
	began := time.Duration(math.MaxInt64)
	for _, c := range p.common {
		if c.left >= left && c.count*commonShare >= p.seen {
			began = min(began, c.left)
		}
	}
	if began == math.MaxInt64 {
		return 0
	}
	return began - left
}

// count counts the most frequent times in bounded room, by the algorithm of
// Misra and Gries.
func (p *Patience) count(left time.Duration) {
	p.seen++
	if p.seen > seenMost {
		p.seen /= 2
		for i := range p.common {
			p.common[i].count /= 2
		}
	}
	free := -1
	for i := range p.common {
		switch c := &p.common[i]; {
		case c.count > 0 && c.left == left:
			c.count++
			return
		case c.count == 0:
			free = i
		}
	}
	if free >= 0 {
		p.common[free] = commonTime{left, 1}
		return
	}
	for i := range p.common {
		p.common[i].count--
	}
}
