package call

import (
	"slices"
	"sync"
	"time"
)

// StartRange estimates the shortest timeout with which callers of a route start, so that a
// caller that returns after a refusal can be told by its shorter remaining time. Unlike
// WaitEstimator it needs no timeout that many callers share, and it doesn't find short waits. A few
// callers that start with much shorter timeouts than the others are taken for returning ones: under
// overload they get what the others leave. It is safe for concurrent use.
type StartRange struct {
	mu        sync.Mutex
	calm      remainingTimes // of attempts while no caller was refused
	all       remainingTimes
	refusedAt time.Time     // when a caller was refused last
	calmAt    time.Time     // time of the last attempt in calm
	low       time.Duration // estimate of the shortest timeout; 0 if unknown
	reliable  time.Duration // the estimate if it is worth telling other entries; 0 otherwise
	stale     int           // attempts since the estimate
	attempts  int           // attempts counted, halved at maxAttempts
	refusals  int           // refusals noted, halved with them
	held      time.Duration // the last estimate by a cluster of clusterShare of all attempts
	heldAt    time.Time
}

const (
	// rangeSamples is the number of attempts that are remembered.
	rangeSamples = 128
	// minRangeSamples is the number of attempts from which on the range is known.
	minRangeSamples = 32
	// estimateInterval is the number of attempts between estimates.
	estimateInterval = 16
	// calmTime is how long after a refusal its caller may return: as long as entries ask
	// callers to stay away, with the time until they have a connection.
	calmTime = 4 * time.Second
	// calmRetention is how long timeouts of calm times are relied on.
	calmRetention = 10 * time.Minute
	// returnShare is the part of attempts in calm times that may come from callers that return,
	// for example after a connection failed.
	returnShare = 0.02
	// Without calm times, the timeouts of first attempts are taken to lie between the longest
	// remaining time and clusterWidth of it, if clusterShare of all attempts do. Every caller
	// that returns has made a first attempt, and callers return a few times.
	clusterWidth = 0.8
	clusterShare = 0.25
	// holdWidth bounds the change of an estimate by the cluster that is kept while most attempts
	// come from callers that return: its longest timeout is then the longest of a few.
	holdWidth = 0.8
	// reliableShare is the share of attempts in the cluster from which on it is told to others.
	reliableShare = 0.5
)

// remainingTimes holds the last remaining times of attempts.
type remainingTimes struct {
	list [rangeSamples]time.Duration
	n    int // in total
}

func (r *remainingTimes) add(remaining time.Duration) {
	r.list[r.n%rangeSamples] = remaining
	r.n++
}

// sorted returns the remembered times in ascending order; none if there are too few.
func (r *remainingTimes) sorted() []time.Duration {
	if r.n < minRangeSamples {
		return nil
	}
	list := slices.Clone(r.list[:min(r.n, rangeSamples)])
	slices.Sort(list)
	return list
}

// Observe records an attempt of a caller with the given remaining time.
func (r *StartRange) Observe(now time.Time, remaining time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(remaining)
	if r.attempts++; r.attempts > maxAttempts {
		r.attempts, r.refusals = r.attempts/2, r.refusals/2
	}
	switch {
	case r.refusedAt.IsZero():
		r.refusedAt = now // another entry may have refused callers before this one started
	case now.Sub(r.refusedAt) >= calmTime:
		if now.Sub(r.calmAt) >= calmRetention {
			r.calm = remainingTimes{}
		}
		r.calm.add(remaining)
		r.calmAt = now
	case now.Sub(r.calmAt) >= calmRetention:
		r.calm = remainingTimes{} // callers may have changed their timeouts
	}
	if r.stale++; r.stale >= estimateInterval {
		r.stale = 0
		r.estimate(now)
	}
}

// NoteRefusal records that a caller was refused and may return.
func (r *StartRange) NoteRefusal(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt = now
	r.refusals++
}

// Elapsed returns how long a caller with this remaining time has been waiting at least, or 0 if
// that is unknown.
func (r *StartRange) Elapsed(remaining time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.low-remaining, 0)
}

// Reliable returns the estimate if other entries may rely on it, else 0: that by attempts in times
// without refusals, or a cluster of most attempts.
func (r *StartRange) Reliable() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reliable
}

func (r *StartRange) estimate(now time.Time) {
	if calm := r.calm.sorted(); calm != nil {
		r.low = calm[int(returnShare*float64(len(calm)))]
		r.reliable = r.low
		return
	}
	r.low, r.reliable = 0, 0
	all := r.all.sorted()
	if all == nil {
		return
	}
	low := time.Duration(clusterWidth * float64(all[len(all)-1]))
	below, _ := slices.BinarySearch(all, low)
	share := float64(len(all)-below) / float64(len(all))
	switch {
	case share >= clusterShare:
		r.low, r.held, r.heldAt = low, low, now
	case r.holds(now, low) && share >= clusterShare*r.firstShare():
		r.low = low
	}
	if share >= reliableShare {
		r.reliable = low
	}
}

// firstShare returns the smallest share of the attempts that may be first attempts: those that
// refusals don't explain.
func (r *StartRange) firstShare() float64 {
	return max(1-float64(r.refusals)/float64(r.attempts), 1.0/maxReturnDivisor)
}

// holds reports whether an estimate is about as long as the last one by all attempts, and callers
// that were refused at that time may still return.
func (r *StartRange) holds(now time.Time, low time.Duration) bool {
	return now.Sub(r.heldAt) < calmTime && float64(low) >= holdWidth*float64(r.held) && float64(r.held) >= holdWidth*float64(low)
}
