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
	// answerMemory is how long an answer is remembered.
	answerMemory = 5 * time.Minute
)

// note records an answer. The upper half of its place has that of the fingerprint, the lower one
// the milliseconds since the start.
func (a *answers) note(now time.Time, fp uint64) {
	start := a.start.Load()
	if start == nil {
		a.start.CompareAndSwap(nil, &now)
		start = a.start.Load()
	}
	a.table[fp%answerPlaces].Store(fp>>32<<32 | uint64(millisSince(*start, now)))
}

// last returns when a request was last answered, zero if that is unknown or long ago.
func (a *answers) last(now time.Time, fp uint64) time.Time {
	start, v := a.start.Load(), a.table[fp%answerPlaces].Load()
	if start == nil || v == 0 || v>>32 != fp>>32 {
		return time.Time{}
	}
	age := time.Duration(millisSince(*start, now)-uint32(v)) * time.Millisecond
	if age > answerMemory {
		return time.Time{}
	}
	return now.Add(-age)
}

// millisSince is 1 at the start, so that 0 is no time. It wraps around after seven weeks.
func millisSince(start, now time.Time) uint32 {
	return uint32(now.Sub(start).Milliseconds()) + 1
}
