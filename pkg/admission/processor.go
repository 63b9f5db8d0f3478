package admission

import "time"

// processor divides processor time.
type processor struct {
	owed    time.Duration // sum over all callers, decaying by owedTime
	updated time.Time
	next    time.Time // when the next piece of delayed work may begin
}

const (
	// idleShare is the part of the processor time that work without use may take, as a divisor.
	idleShare = 4
	// maxDelay bounds the delay of one piece of work.
	maxDelay = 2 * time.Second
)

// Work charges processor time that a connection takes, until the request is served. It returns for
// how long the work has to be delayed: not at all, unless work without use takes more than its part
// and the caller has had more of it than others.
func (b *Budget) Work(now time.Time, id ID, cost time.Duration) (delay time.Duration) {
	c := b.conns[id]
	if c == nil || b.cfg.Cores <= 0 {
		return 0
	}
	p := &b.work
	p.advance(now)
	c.caller.advance(now)
	c.work += cost
	c.caller.owed += cost
	p.owed += cost
	rate := b.cfg.Cores / idleShare
	usual := p.owed.Seconds() / float64(2*len(b.callers)) * (1 + c.caller.served)
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
	b.work.advance(now)
	part := min(c.work, c.caller.owed)
	c.caller.owed -= part
	b.work.owed = max(b.work.owed-part, 0)
}
