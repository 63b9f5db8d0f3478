package slot

import "time"

const (
	// absentRetention is how long the state of a target that is missing from the list is
	// kept. It exceeds the time for which the store is unavailable or returns old data.
	absentRetention = 10 * time.Minute
	// maxAbsent bounds the number of such targets.
	maxAbsent = 1024
)

// absence is a target that is missing from the list.
type absence struct {
	member *member
	since  time.Time
}

// absences are the targets that are missing from the list, by incarnation. A target's
// reports stay valid while it runs, and its record may be missing for only a moment.
type absences map[string]absence

// add keeps the state of a target that has reported something or may still do so.
func (a absences) add(now time.Time, m *member) {
	if !m.Leaving && m.leavingSince.IsZero() && !m.limit.set && m.inFlight == 0 && !now.Before(m.pausedUntil) {
		return
	}
	if len(a) >= maxAbsent {
		a.evict()
	}
	a[m.Incarnation()] = absence{m, now}
}

// restore removes and returns the state of a target that is back in the list, or nil if
// there is none.
func (a absences) restore(t Target) *member {
	m := a[t.Incarnation()].member
	delete(a, t.Incarnation())
	return m
}

// expire removes targets that have been missing for longer than absentRetention.
func (a absences) expire(now time.Time) {
	for incarnation, missing := range a {
		if now.Sub(missing.since) > absentRetention {
			delete(a, incarnation)
		}
	}
}

// evict removes the target that has been missing for longest.
func (a absences) evict() {
	oldest := ""
	for incarnation, missing := range a {
		if oldest == "" || missing.since.Before(a[oldest].since) {
			oldest = incarnation
		}
	}
	delete(a, oldest)
}
