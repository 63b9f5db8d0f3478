// Package alarm wakes the driver of a decision package at the time that the
// package asks for.
package alarm

import "time"

// Alarm is a timer that is set anew only where the time it is wanted for has
// changed. Its owner's lock guards it.
type Alarm struct {
	timer *time.Timer
	due   time.Time // when it rings; zero when it is not set
}

// never is how far off a new timer is until it is stopped.
const never = time.Hour

// New returns an alarm that is not set. ring is called in a goroutine of its own
// and calls Rang first.
func New(ring func()) *Alarm {
	a := &Alarm{timer: time.AfterFunc(never, ring)}
	a.timer.Stop()
	return a
}

// Set has it ring at next, at once where that has passed, or not at all where
// next is zero.
func (a *Alarm) Set(now, next time.Time) {
	if next.Equal(a.due) {
		return
	}
	a.due = next
	if next.IsZero() {
		a.timer.Stop()
		return
	}
	a.timer.Reset(max(next.Sub(now), 0))
}

// Rang notes that it has rung, so that the same time can be set again.
func (a *Alarm) Rang() { a.due = time.Time{} }

// Stop ends it.
func (a *Alarm) Stop() { a.timer.Stop() }
