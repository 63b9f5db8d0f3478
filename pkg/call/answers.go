package call

import (
	"sync/atomic"
	"time"
)

// answers remembers when requests were last answered, by fingerprint. One may replace another
// that has the same place in the table. It is safe for concurrent use.
type answers struct {
	start atomic.Pointer[time.Time] // of the first answer
	table [answerPlaces]atomic.Uint64
}

const (
	answerPlaces = 1 << 12
	// answerTimeMask has the bits of a place that hold the time.
	answerTimeMask = 1<<40 - 1
	// answerMemory is how long an answer is remembered.
	answerMemory = 5 * time.Minute
)

// note records an answer: the upper bits of its fingerprint, and the time since the start in µs.
func (a *answers) note(now time.Time, fp uint64) {
	start := a.start.Load()
	if start == nil {
		a.start.CompareAndSwap(nil, &now)
		start = a.start.Load()
	}
	a.table[fp%answerPlaces].Store(fp&^answerTimeMask | answerTime(*start, now))
}

// last returns when a request was last answered, zero if that is unknown or long ago.
func (a *answers) last(now time.Time, fp uint64) time.Time {
	start, v := a.start.Load(), a.table[fp%answerPlaces].Load()
	if start == nil || v == 0 || (v^fp)&^answerTimeMask != 0 {
		return time.Time{}
	}
	age := time.Duration((answerTime(*start, now)-v)&answerTimeMask) * time.Microsecond
	if age > answerMemory {
		return time.Time{}
	}
	return now.Add(-age)
}

// answerTime is 1 at the start, so that 0 is no time. It wraps around after twelve days.
func answerTime(start, now time.Time) uint64 {
	return uint64(now.Sub(start).Microseconds()+1) & answerTimeMask
}
