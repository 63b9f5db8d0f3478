package admission

import (
	"math"
	"time"
)

// processor divides the processor time of a class.
type processor struct {
	owed    time.Duration // sum over all callers, decaying by owedTime
	updated time.Time
	next    time.Time // when the next piece of delayed work may begin
	callers int
}

// workPart is the part of the processor time that work without use may take, as a divisor.
var workPart = [classCount]float64{Traffic: 4, Checks: 16, Lookups: 16, Entries: 8, Operators: 16}

// maxDelay bounds the delay of one piece of work. A request head is given up earlier.
const maxDelay = 20 * time.Second

// Work charges processor time that a connection takes, until the request is served. It returns for
// how long the work has to be delayed: not at all, unless the work without use of its class takes
// more than its part and the caller has had more of it, for its use, than others.
func (b *Budget) Work(now time.Time, id ID, cost time.Duration) (delay time.Duration) {
	c := b.conns[id]
	if c == nil || b.cfg.Cores <= 0 {
		return 0
	}
	p := &b.work[c.class]
	p.advance(now)
	c.caller.advance(now)
	c.work += cost
	c.caller.owed += cost
	p.owed += cost
	rate := b.cfg.Cores / workPart[c.class]
	usual := p.owed.Seconds() / float64(2*p.callers)
	if math.IsInf(maxServed[c.class], 1) {
		usual *= 1 + c.caller.served
	}
	if p.owed.Seconds() <= rate*owedTime.Seconds() || c.caller.owed.Seconds() <= usual {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(cost) / rate))
	if p.next.After(now.Add(maxDelay)) {
		p.next = now.Add(maxDelay)
	}
	return p.next.Sub(now)
}

// advance applies the decay up to now.
func (p *processor) advance(now time.Time) {
	if passed := now.Sub(p.updated); passed > 0 {
		p.owed = time.Duration(float64(p.owed) * decay(passed, owedTime))
		p.updated = now
	}
}

// refund ends the charge for the work of requests that were served.
func (b *Budget) refund(now time.Time, c *conn) {
	p := &b.work[c.class]
	p.advance(now)
	part := min(c.work, c.caller.owed)
	c.caller.owed -= part
	p.owed = max(p.owed-part, 0)
}
