package tail

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"plumpitch.example/plumpitch/pkg/pool"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600 * 1000 * 1000 // ten minutes
	significantDigits = 3                 // precision of the histograms
)

// interval is a span of virtual time, in nanoseconds.
type interval struct{ from, to int64 }

// stats collects the measurements of one run.
type stats struct {
	latency          *hdr.Histogram // of served requests as their callers see it, in microseconds
	writeLatency     *hdr.Histogram // the same, of non-idempotent requests only
	writes           int            // non-idempotent requests
	refusedWrites    int
	offered          int
	served           int
	failed           int // requests that got an error or could not be retried
	refused          int // requests that a balancer refused
	refusedAfterWait int // requests refused because their deadline came near in the queue
	dispatches       int
	retries          int
	trials           int // trial requests to ejected targets
	probes           []interval
	denied           int
	lastOffered      time.Duration // arrival of the last request at a leaving worker, counted from the order to leave
	lastAccepted     time.Duration // the same, of requests that the worker accepted
	most             int           // peak of requests queued or in flight
	lostDispatches   int           // dispatches that were shed or met a dead or crashing worker
	workerArrivals   [][]int       // requests that arrived at each worker in each arrivalStep
	lastArrival      int64         // virtual time of the last request, in nanoseconds
	lastEnd          int64         // virtual time when the last request ended, in nanoseconds
	refusalCounts    [8]int        // refusals by pool.Reason
}

func newStats(workers int) *stats {
	return &stats{latency: hdr.New(minLatencyMicros, maxLatencyMicros, significantDigits), writeLatency: hdr.New(minLatencyMicros, maxLatencyMicros, significantDigits), workerArrivals: make([][]int, workers)}
}

// addDrainArrival records a request that arrives at a leaving worker. The age is
// the time since the order to leave, in nanoseconds.
func (t *stats) addDrainArrival(age int64, accepted bool) {
	t.lastOffered = max(t.lastOffered, time.Duration(age))
	if accepted {
		t.lastAccepted = max(t.lastAccepted, time.Duration(age))
	}
}

func (t *stats) addProbe(from, to int64) { t.probes = append(t.probes, interval{from, to}) }

func (t *stats) addRefusal(r pool.Reason, write bool) {
	t.refused++
	if write {
		t.refusedWrites++
	}
	t.refusalCounts[r]++
	if r == pool.DeadlineNear {
		t.refusedAfterWait++
	}
}

func (t *stats) addServed(latency int64, write bool) {
	t.served++
	if write {
		_ = t.writeLatency.RecordValue(latency / int64(time.Microsecond))
	}
	_ = t.latency.RecordValue(latency / int64(time.Microsecond))
}

func (t *stats) probeTime() (sum time.Duration) {
	for _, p := range t.probes {
		sum += time.Duration(p.to - p.from)
	}
	return sum
}

// peakProbeTime returns the most target time spent on probes in any window of the
// given length.
func (t *stats) peakProbeTime(window time.Duration) (peak time.Duration) {
	for _, p := range t.probes {
		peak = max(peak, t.probeTimeBetween(p.from, p.from+int64(window)), t.probeTimeBetween(p.to-int64(window), p.to))
	}
	return peak
}

// probeTimeBetween returns the target time spent on probes between two times. The
// search starts one second early to include probes that are already running at from.
func (t *stats) probeTimeBetween(from, to int64) (sum time.Duration) {
	first, _ := slices.BinarySearchFunc(t.probes, from-int64(time.Second), func(p interval, at int64) int {
		return int(min(max(p.from-at, -1), 1))
	})
	for _, p := range t.probes[first:] {
		if p.from > to {
			break
		}
		sum += time.Duration(max(min(p.to, to)-max(p.from, from), 0))
	}
	return sum
}

const (
	arrivalStep    = 100 * time.Millisecond
	recoverySteps  = 3   // steps that recovery is judged by
	recoveredShare = 0.8 // part of an equal share of the requests that counts as full use
)

func (t *stats) addWorkerArrival(worker int32, now int64) {
	step := int(now / int64(arrivalStep))
	for len(t.workerArrivals[worker]) <= step {
		t.workerArrivals[worker] = append(t.workerArrivals[worker], 0)
	}
	t.workerArrivals[worker][step]++
}

// recoveryTime returns the time from the end of a fault until the worker gets its
// share of the requests again. It returns 0 if the fault ends too late in the run to
// judge the recovery, and the rest of the run if the worker doesn't recover in it.
func (t *stats) recoveryTime(worker int, end time.Duration) time.Duration {
	last := int(t.lastArrival/int64(arrivalStep)) - recoverySteps
	first := int(end / arrivalStep)
	if first >= last {
		return 0
	}
	for step := first; step < last; step++ {
		own, all := t.windowArrivals(worker, step)
		if own*float64(len(t.workerArrivals)) >= recoveredShare*all {
			return time.Duration(step-first) * arrivalStep
		}
	}
	return time.Duration(last-first) * arrivalStep
}

// windowArrivals returns the requests that arrived at one worker and at all workers
// in the recoverySteps steps that start with from.
func (t *stats) windowArrivals(worker, from int) (own, all float64) {
	for w, counts := range t.workerArrivals {
		for step := from; step < min(from+recoverySteps, len(counts)); step++ {
			all += float64(counts[step])
			if w == worker {
				own += float64(counts[step])
			}
		}
	}
	return own, all
}
