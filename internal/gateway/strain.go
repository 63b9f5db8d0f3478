package gateway

import "time"

// overloadDetector detects that this entry is overloaded. It measures how late the control
// loop's ticks are, since requests are delayed by as much.
type strain struct {
	last  time.Time
	late  int       // consecutive late ticks
	until time.Time // end of the overloaded state
}

const (
	// maxTickDelay is how late a tick may be. A request and its response that are each
	// delayed by that much have used half of the shortest objective.
	strainLate = 40 * time.Millisecond
	// overloadTicks is how many consecutive late ticks mean overload.
	strainTicks = 2
	// overloadHold is how long an entry stays overloaded after the last detection. A slow
	// VM without callers appears healthy, so without this time it would get them back at
	// once.
	strainHold = 6 * time.Second
)

// tick records a tick that was due one period after the previous one.
func (s *strain) tick(now time.Time, period time.Duration) {
	late := !s.last.IsZero() && now.Sub(s.last) > period+strainLate
	s.last = now
	if !late {
		s.late = 0
		return
	}
	s.late++
	if s.late >= strainTicks {
		s.until = now.Add(strainHold)
	}
}

// overloaded reports whether callers should be sent to other entries.
func (s *strain) strained(now time.Time) bool {
	return now.Before(s.until)
}
