package admission

import (
	"math"
	"time"
)

// conn is a connection.
type conn struct {
	id     ID
	class  Class
	caller *caller
	bytes  int64
	since  time.Time // of the end of its last request, or of its start
	// Processor time for requests that haven't ended, without their heads and for them.
	work, headWork time.Duration
	// busy is how many complete requests are being served.
	busy    int
	writing time.Time // begin of a write that hasn't ended; zero without one
	window  window
	unsent  int64 // bytes of the window for sending
}

// stallTime is how long a write of a response may take before its connection may be evicted.
const stallTime = 250 * time.Millisecond

// evictable reports whether the connection may be closed for lack of room. Requests that have
// arrived completely are served to their end, unless the caller doesn't read.
func (c *conn) evictable(now time.Time) bool {
	return c.busy == 0 || c.stalled(now)
}

// stalled reports whether the caller doesn't read its response.
func (c *conn) stalled(now time.Time) bool {
	return !c.writing.IsZero() && now.Sub(c.writing) >= stallTime
}

// minHoldTime is added to the time for which a connection has held its bytes, so that new ones count.
const minHoldTime = 100 * time.Millisecond

// held returns what the connection holds, in byte seconds.
func (c *conn) held(now time.Time) float64 { return c.heldWith(now, 0) }

// heldWith returns what the connection holds with further bytes, in byte seconds.
func (c *conn) heldWith(now time.Time, bytes int64) float64 {
	return float64(c.bytes+bytes) * (now.Sub(c.since) + minHoldTime).Seconds()
}

// Begin notes that a request is passed to its handler. complete means that it has arrived with its
// body. It returns false if the connection was evicted.
func (b *Budget) Begin(id ID, complete bool) bool {
	c := b.conns[id]
	if c == nil {
		return false
	}
	if complete {
		c.busy++
	}
	return true
}

// Complete notes that the body of a request has arrived. It returns false if the connection was
// evicted.
func (b *Budget) Complete(id ID) bool { return b.Begin(id, true) }

// maxServed bounds the requests of a caller that count as use, with their decay: 12 a second. Checks
// and look-ups are as cheap to send as they are to serve, so more of them are no use.
var maxServed = [classCount]float64{Traffic: math.Inf(1), Checks: 120, Lookups: 120, Entries: math.Inf(1), Operators: 120}

// End notes the end of a request, which was complete, and whether its caller was served.
func (b *Budget) End(now time.Time, id ID, complete, served bool) {
	c := b.conns[id]
	if c == nil {
		return
	}
	if complete {
		c.busy--
	}
	if served {
		c.since = now
		c.caller.advance(now)
	}
	if served && c.caller.served < maxServed[c.class] {
		c.caller.served++
		if c.class != Operators { // metrics and status take far more work than their requests
			b.refund(now, c)
		}
	}
	c.work, c.headWork = 0, 0
}

// Write notes the begin of a write of a response, and Written its end.
func (b *Budget) Write(now time.Time, id ID) {
	if c := b.conns[id]; c != nil {
		c.writing = now
	}
}

// Written notes the end of a write of a response.
func (b *Budget) Written(id ID) {
	if c := b.conns[id]; c != nil {
		c.writing = time.Time{}
	}
}
