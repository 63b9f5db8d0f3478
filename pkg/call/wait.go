package call

import (
	"math"
	"sync"
	"time"
)

// WaitEstimator estimates how long a caller of a route has been waiting already,
// from its remaining time. A caller that retries after a refusal has less time left
// than at its first attempt.
//
// The estimate is possible only where many callers start with the same timeout.
// Where the timeouts of first attempts vary, a short remaining time proves nothing:
// if it were taken for a retry, half of the first attempts to an idle service would
// be refused as too late. So WaitEstimator learns which remaining times recur, to the
// millisecond. The remaining time of a retry is reduced by the network and the wait,
// and rarely repeats.
//
// After an overload, most attempts are retries, and first attempts are a small part of all. A
// starting timeout that was learned before therefore needs only its share of the attempts that
// can't be retries. It is safe for concurrent use.
type WaitEstimator struct {
	mu       sync.Mutex
	attempts int // attempts counted, halved at maxAttempts
	refusals int // refusals noted, halved with them
	counters [counterCount]timeCounter
	starting [counterCount]timeCounter // times that were starting timeouts before
}

// timeCounter counts the attempts with one remaining time.
type timeCounter struct {
	remaining time.Duration
	count     int
}

const (
	// counterCount is the number of remaining times counted at once. A time shared by
	// more than one in nine attempts always has a counter.
	counterCount = 8
	// minAttempts is the number of attempts before any time counts as a starting
	// timeout. A starting timeout then has at least four attempts; two could share a
	// time by chance.
	minAttempts = 32
	// commonDivisor sets the share of attempts above which a time counts as a starting
	// timeout: one in eight. Of times spread over 100 ms, each has one in a hundred.
	// Where callers share a timeout and every request is refused and retried once, half
	// of the attempts still have that timeout.
	commonDivisor = 8
	// maxReturnDivisor bounds the share of attempts that refusals can explain: one in eight counts
	// as a first attempt, however many were refused. Half a second after five times the load that
	// targets can serve, one in 17 is.
	maxReturnDivisor = 8
	// maxAttempts is the number of attempts at which all counts are halved, so that new
	// timeouts are learned within a few hundred attempts.
	maxAttempts = 256
)

// Elapsed counts an attempt of a caller with the given remaining time, and returns how
// long the caller has been waiting already, or 0 if that is unknown. The estimate is the
// smallest one that a starting timeout allows.
func (w *WaitEstimator) Elapsed(remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count(remaining.Truncate(time.Millisecond))
	return w.estimate(remaining)
}

// NoteRefusal counts a refusal, whose caller may retry.
func (w *WaitEstimator) NoteRefusal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals++
}

// Estimate is like Elapsed, but counts no attempt.
func (w *WaitEstimator) Estimate(remaining time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.estimate(remaining)
}

func (w *WaitEstimator) estimate(remaining time.Duration) time.Duration {
	if w.attempts < minAttempts {
		return 0
	}
	timeout := time.Duration(math.MaxInt64)
	consider := func(c timeCounter, attempts int) {
		if c.remaining >= remaining && c.common(attempts) {
			timeout = min(timeout, c.remaining)
		}
	}
	firstAttempts := max(w.attempts-w.refusals, w.attempts/maxReturnDivisor)
	for i := range w.counters {
		consider(w.counters[i], w.attempts)
		if w.refusals > 0 {
			consider(w.starting[i], firstAttempts)
		}
	}
	if timeout == math.MaxInt64 {
		return 0
	}
	return timeout - remaining
}

// common reports whether the time counts as a starting timeout, of a number of attempts.
func (c timeCounter) common(attempts int) bool {
	return c.count > 0 && c.count*commonDivisor >= attempts
}

// count counts the most frequent remaining times in bounded memory, by the Misra-Gries
// algorithm.
func (w *WaitEstimator) count(remaining time.Duration) {
	w.attempts++
	if w.attempts > maxAttempts {
		w.attempts /= 2
		w.refusals /= 2
		for i := range w.counters {
			w.counters[i].count /= 2
			w.starting[i].count /= 2
		}
	}
	known := w.countStarting(remaining)
	free := -1
	for i := range w.counters {
		switch c := &w.counters[i]; {
		case c.count > 0 && c.remaining == remaining:
			c.count++
			if !known && w.attempts >= minAttempts && c.common(w.attempts) {
				w.addStarting(*c)
			}
			return
		case c.count == 0:
			free = i
		}
	}
	if free >= 0 {
		w.counters[free] = timeCounter{remaining, 1}
		return
	}
	for i := range w.counters {
		w.counters[i].count--
	}
}

// countStarting counts an attempt if its remaining time was a starting timeout before. Unlike
// counters, these counts don't fall when other times are frequent.
func (w *WaitEstimator) countStarting(remaining time.Duration) (known bool) {
	for i := range w.starting {
		if c := &w.starting[i]; c.count > 0 && c.remaining == remaining {
			c.count++
			return true
		}
	}
	return false
}

// addStarting remembers a starting timeout in place of the least frequent one.
func (w *WaitEstimator) addStarting(c timeCounter) {
	least := &w.starting[0]
	for i := range w.starting {
		if w.starting[i].count < least.count {
			least = &w.starting[i]
		}
	}
	*least = c
}
