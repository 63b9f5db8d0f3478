// Package grace decides what a process that is asked to stop may still begin in its grace period, at
// the end of which it is killed. It does no I/O and reads no clock.
package grace

import "time"

// Config configures a Period.
type Config struct {
	Began time.Time     // of the stop
	Grace time.Duration // from then on until the process is killed
	Drain time.Duration // for which callers may use the process's address; shortened to half of Grace
}

// Period is the course of a stop.
type Period struct {
	Closes time.Time // no further connections are accepted
	Ends   time.Time // requests that are unfinished get an error response
	Exits  time.Time // connections that are left are closed, and the process ends
}

const (
	// maxReserve bounds the part of the grace period after Ends, an eighth of it. Requests that are
	// sent at the start of the stop may last for five sixths of the grace period.
	maxReserve = 600 * time.Millisecond
	// maxFlush bounds the time from Ends to Exits, a quarter of the reserve, in which the last
	// responses are written.
	maxFlush = 100 * time.Millisecond
)

// New returns the course of a stop.
func New(c Config) Period {
	grace := max(c.Grace, 0)
	reserve := min(maxReserve, grace/8)
	ends := c.Began.Add(grace - reserve)
	return Period{
		Closes: c.Began.Add(min(c.Drain, grace/2)),
		Ends:   ends,
		Exits:  ends.Add(min(maxFlush, reserve/4)),
	}
}

// Request is what is known of a request that may be begun.
type Request struct {
	Deadline time.Time     // by which it ends in any case
	Usual    time.Duration // usual time that one takes
	Longest  time.Duration // longest recent time that one took; 0 if there is none
}

// usualFactor is how many times its usual time a request is given.
const usualFactor = 1.1

// Admits reports whether a request that begins now is likely to end before Ends. From Closes on, few
// callers still use this process and others serve them as well, so a request may begin only if the
// longest ones would end in time. A period that hasn't begun is zero and admits everything.
func (p Period) Admits(now time.Time, r Request) bool {
	left := p.Ends.Sub(now)
	switch {
	case p.Ends.IsZero():
		return true
	case left <= 0:
		return false
	case !r.Deadline.After(p.Ends):
		return true
	case float64(r.Usual)*usualFactor > float64(left):
		return false
	case now.Before(p.Closes):
		return true
	}
	return r.Longest > 0 && r.Longest+r.Longest/4 <= left
}
