package admission

import (
	"math"
	"time"
)

// processor divides the processor time of a class.
type processor struct {
	owed    time.Duration // sum over all callers, decaying by owedTime
	updated time.Time
	level   float64 // seconds that a caller without use may owe, by the latest division
	divided time.Time
}

// workPart is the part of the processor time that work without use may take, as a divisor.
var workPart = [classCount]float64{Traffic: 4, Checks: 16, Lookups: 16, Entries: 8, Operators: 16}

const (
	// minDelay is the shortest delay. Timers are late by a millisecond and more, so that many short
	// delays would take several times as long as they should.
	minDelay = 10 * time.Millisecond
	// maxDelay bounds the delay of one piece of work. A request head is given up earlier.
	maxDelay = 20 * time.Second
	// dividePeriod is the time between two divisions.
	dividePeriod = 100 * time.Millisecond
	// absentTime is for how long a caller without a connection counts in a division. Without it,
	// callers that connect for each request would not count.
	absentTime = time.Second
)

// maxHeadRefund is how much of the work for its head a served request cancels: for hundreds of lines,
// or a few of checks and look-ups.
var maxHeadRefund = [classCount]time.Duration{
	Traffic: time.Millisecond, Checks: 25 * time.Microsecond, Lookups: 25 * time.Microsecond, Entries: time.Millisecond,
}

// Work charges processor time that a connection takes, until the request is served. head is the part
// of it for the request's head. It returns for how long the work has to be delayed: not at all, unless
// the work without use of its class takes more than its part and the caller has had more of it, for
// its use, than others.
func (b *Budget) Work(now time.Time, id ID, cost, head time.Duration) (delay time.Duration) {
	c := b.conns[id]
	if c == nil || b.cfg.Cores <= 0 {
		return 0
	}
	p := &b.work[c.class]
	p.advance(now)
	c.caller.advance(now)
	c.work += cost - head
	c.headWork += head
	c.caller.owed += cost
	p.owed += cost
	room := b.cfg.Cores / workPart[c.class] * owedTime.Seconds()
	if p.owed.Seconds() <= room {
		return 0
	}
	if age := now.Sub(p.divided); age >= dividePeriod || age < 0 {
		b.divide(now, c.class, room)
		if p.owed.Seconds() <= room {
			return 0
		}
	}
	// What the caller owes decays to its level in this time.
	excess := c.caller.owed.Seconds() / (p.level * c.caller.weight())
	delay = time.Duration(min(owedTime.Seconds()*math.Log(excess), maxDelay.Seconds()) * float64(time.Second))
	if delay < minDelay {
		return 0
	}
	return delay
}

// weight is how much more than a caller without use the caller may owe.
func (c *caller) weight() float64 {
	if math.IsInf(maxServed[c.class], 1) {
		return 1 + c.served
	}
	return 1
}

// counts reports whether the caller takes part in a division.
func (c *caller) counts(now time.Time) bool { return c.conns > 0 || now.Sub(c.left) < absentTime }

// divide divides room, in seconds of work, among the callers of a class in proportion to their
// weights. Those that owe less than that leave the rest to the others.
func (b *Budget) divide(now time.Time, class Class, room float64) {
	p := &b.work[class]
	p.owed, p.divided = 0, now
	var owing []*caller
	weights := 0.0
	for _, c := range b.callers {
		if c.class != class || !c.counts(now) {
			continue
		}
		c.advance(now)
		p.owed += c.owed
		owing = append(owing, c)
		weights += c.weight()
	}
	for p.level = room / weights; ; p.level = room / weights {
		rest := owing[:0]
		for _, c := range owing {
			if owed := c.owed.Seconds(); owed <= p.level*c.weight() {
				room -= owed
				weights -= c.weight()
				continue
			}
			rest = append(rest, c)
		}
		if len(rest) == len(owing) || len(rest) == 0 {
			return
		}
		owing = rest
	}
}

// advance applies the decay up to now.
func (p *processor) advance(now time.Time) {
	if passed := now.Sub(p.updated); passed > 0 {
		p.owed = time.Duration(float64(p.owed) * decay(passed, owedTime))
		p.updated = now
	}
}

// refund ends the charge for the work of a request that was served.
func (b *Budget) refund(now time.Time, c *conn) {
	p := &b.work[c.class]
	p.advance(now)
	part := min(c.work+min(c.headWork, maxHeadRefund[c.class]), c.caller.owed)
	c.caller.owed -= part
	p.owed = max(p.owed-part, 0)
}
