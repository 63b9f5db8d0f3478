package gateway

import "time"

// strain tells whether this entry keeps up. It is judged by how late the
// control loop's own timer is: where that comes late, so does every request.
type strain struct {
	last  time.Time
	late  int // ticks in a row
	until time.Time
}

const (
	// strainLate is how late a tick may be. An answer that is held up that long
	// on each of its ways through the entry has spent half of the shortest
	// objective.
	strainLate = 40 * time.Millisecond
	// strainTicks is how many late ticks in a row show that it lasts.
	strainTicks = 2
	// strainHold is how long an entry goes without callers then: a slow VM
	// that gets none looks well, and would be given them again at once.
	strainHold = 6 * time.Second
)

// tick takes a tick that was due period after the one before.
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

// strained tells whether callers should be sent elsewhere.
func (s *strain) strained(now time.Time) bool {
	return now.Before(s.until)
}
