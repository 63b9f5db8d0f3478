package slot

import "time"

const (
	// absentKept is how long a target that has gone from the list is remembered: longer
	// than the store stays away, or is behind.
	absentKept = 10 * time.Minute
	// absentMost bounds how many are.
	absentMost = 1024
)

// absence is a target that has gone from the list.
type absence struct {
	member *member
	since  time.Time
}

// absences are targets that have gone from the list, by incarnation. What one has reported
// holds for as long as it runs, and its record may only have been away for a moment.
type absences map[string]absence

// add remembers a target where anything was reported, or may yet be.
func (a absences) add(now time.Time, m *member) {
	if !m.Leaving && m.left.IsZero() && !m.limit.named && m.inFlight == 0 && !now.Before(m.paused) {
		return
	}
	if len(a) >= absentMost {
		a.evict()
	}
	a[m.Run()] = absence{m, now}
}

// take returns a target that is back, nil where nothing is remembered of it.
func (a absences) take(t Target) *member {
	m := a[t.Run()].member
	delete(a, t.Run())
	return m
}

// expire forgets those that have been away for long.
func (a absences) expire(now time.Time) {
	for run, x := range a {
		if now.Sub(x.since) > absentKept {
			delete(a, run)
		}
	}
}

// evict forgets the one that has been away for longest.
func (a absences) evict() {
	oldest := ""
	for run, x := range a {
		if oldest == "" || x.since.Before(a[oldest].since) {
			oldest = run
		}
	}
	delete(a, oldest)
}
