package memory

import (
	"cmp"
	"time"
)

// allocation is a body that is being read or held.
type allocation struct {
	Body
	id           ID
	opened       time.Time
	held         int64 // bytes that it has room for
	start        int64 // of these, bytes that it holds without a reservation
	reserved     int64 // further bytes that it may hold
	asked        int64 // bytes that it waits for
	reading      bool  // bytes are under way
	resumed      time.Time
	readTime     time.Duration // without the time for which it waited for room
	received     int64
	waiting      bool
	waitingSince time.Time
	complete     bool
}

// resume notes that bytes may be received from now on.
func (c *allocation) resume(now time.Time) {
	c.reading, c.resumed, c.asked = true, now, 0
}

// pause notes that the bytes have been received.
func (c *allocation) pause(now time.Time) {
	if c.reading {
		c.readTime += now.Sub(c.resumed)
		c.received = c.held
		c.reading = false
	}
}

// large reports whether the body may be larger than a start.
func (c *allocation) large(start int64) bool { return c.Length < 0 || c.Length > start }

// outgrown is how much of its size a body of unknown length that is larger than usual is taken to
// lack, as a divisor.
const outgrown = 4

// need returns how many bytes the body has yet to receive. One of unknown length is taken to be of
// the usual size, or to be nearly complete beyond that.
func (c *allocation) need(usual int64) int64 {
	if c.Length >= 0 {
		return max(c.Length-c.held, c.asked)
	}
	return max(min(max(c.held/outgrown, usual-c.held), c.Max-c.held), c.asked)
}

// A caller counts as one that has sent assumedBytes in assumedTime before, so that the estimate
// of its rate is neither wild at the start of a body nor zero.
const (
	assumedBytes = 8 << 10
	assumedTime  = 2 * time.Millisecond
)

// rate returns the rate at which the caller sends, in bytes per second.
func (c *allocation) rate(now time.Time) float64 {
	return float64(c.received+assumedBytes) / (c.timeRead(now) + assumedTime).Seconds()
}

// timeRead returns for how long the caller could send.
func (c *allocation) timeRead(now time.Time) time.Duration {
	if c.reading {
		return c.readTime + max(now.Sub(c.resumed), 0)
	}
	return c.readTime
}

// maxEstimate bounds the estimated time of a body.
const maxEstimate = 24 * time.Hour

// left returns how long the body takes until it is complete, by its rate.
func (c *allocation) left(now time.Time, bytes int64) time.Duration {
	seconds := float64(bytes) / c.rate(now)
	if seconds >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(seconds * float64(time.Second))
}

// hopelessFactor is how many times longer than it may a body must take by its estimate before
// it counts as one that can't be complete in time.
const hopelessFactor = 2

// hopeless reports whether the body isn't expected to be complete before its deadline.
func (c *allocation) hopeless(now time.Time, usual int64) bool {
	return c.left(now, c.need(usual)) > hopelessFactor*max(c.Deadline.Sub(now), 0)
}

// late reports whether the body surely can't be complete before its deadline. Of a body of unknown
// length only the next bytes are sure.
func (c *allocation) late(now time.Time) bool {
	missing := c.asked
	if c.Length >= 0 {
		missing = max(c.Length-c.held, c.asked)
	}
	return c.left(now, missing) > hopelessFactor*max(c.Deadline.Sub(now), 0)
}

// minObservation is how long a caller is observed before it counts as slow.
const minObservation = 250 * time.Millisecond

// slow reports whether the caller is sending too slowly for the body's deadline.
func (c *allocation) slow(now time.Time, usual int64) bool {
	return c.reading && c.timeRead(now) >= minObservation && c.hopeless(now, usual)
}

// rank returns the time at which the body would be complete if it had been read without a wait
// since it was opened. Lower ranks go first. A large body falls behind smaller newcomers for as
// long as its transfer takes, not for ever.
func (c *allocation) rank(now time.Time, usual int64) time.Time {
	return c.opened.Add(c.left(now, c.held+c.need(usual)))
}

// after reports whether the body has a higher rank than another.
func (c *allocation) after(o *allocation, now time.Time, usual int64) bool {
	return cmp.Or(c.rank(now, usual).Compare(o.rank(now, usual)), cmp.Compare(c.id, o.id)) > 0
}
