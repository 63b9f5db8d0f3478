// Package alarm provides a resettable timer. It calls a state machine's driver at the
// time of the state machine's next event.
package alarm

import "time"

// Alarm is a timer that is reset only if its due time changes. It is not safe for
// concurrent use: the owner guards it with its own lock.
type Alarm struct {
	timer *time.Timer
	due   time.Time // zero when it is not set
}

// initialDelay is the delay of a new timer, which New stops at once.
const initialDelay = time.Hour

// New returns an alarm that is not set. When it is due, it calls f in a separate
// goroutine. f must call Fired first.
func New(f func()) *Alarm {
	a := &Alarm{timer: time.AfterFunc(initialDelay, f)}
	a.timer.Stop()
	return a
}

// Set makes the alarm due at next, or at once if next has passed. A zero next stops it.
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

// Fired records that the alarm has fired, so that the same time can be set again.
func (a *Alarm) Fired() { a.due = time.Time{} }

// Stop stops the alarm.
func (a *Alarm) Stop() { a.timer.Stop() }
