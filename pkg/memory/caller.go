package memory

import "time"

// callerUse is what one caller uses with its large bodies. Small ones compete with nobody.
type callerUse struct {
	bodies int
	bytes  int64 // held and reserved
}

// addCaller counts a body for its caller.
func (b *Budget) addCaller(c *allocation) {
	if !c.large(b.cfg.Start) {
		return
	}
	if b.callers[c.Caller] == nil {
		b.callers[c.Caller] = &callerUse{}
	}
	b.callers[c.Caller].bodies++
}

// removeCaller ends the use of a body.
func (b *Budget) removeCaller(c *allocation) {
	u := b.callers[c.Caller]
	if u == nil || !c.large(b.cfg.Start) {
		return
	}
	u.bytes -= c.held
	if u.bodies--; u.bodies == 0 {
		delete(b.callers, c.Caller)
	}
}

// use counts bytes that a body holds or has reserved; a negative number ends that.
func (b *Budget) use(c *allocation, bytes int64) {
	if c.large(b.cfg.Start) {
		b.callers[c.Caller].bytes += bytes
	}
}

// share returns the equal share of a caller.
func (b *Budget) share() int64 { return b.reservable() / int64(max(len(b.callers), 1)) }

// beyondShare reports whether a body that waits would take its caller beyond its share.
func (b *Budget) beyondShare(c *allocation) bool {
	return b.callers[c.Caller].bytes+c.need(b.usual) > b.share()
}

// lastWaiting returns the last of the bodies that wait, and of c, which is about to: one of a caller
// beyond its share if there is any, then that of the highest rank.
func (b *Budget) lastWaiting(now time.Time, c *allocation) *allocation {
	waits := func(o *allocation) bool { return o == c || o.waiting }
	if last := b.lastOf(now, func(o *allocation) bool { return waits(o) && o.large(b.cfg.Start) && b.beyondShare(o) }); last != nil {
		return last
	}
	return b.lastOf(now, waits)
}
