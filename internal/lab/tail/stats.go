package tail

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"plumpitch.example/plumpitch/pkg/pool"
)

const (
	lowest  = 1                 // microseconds
	highest = 600 * 1000 * 1000 // ten minutes
	digits  = 3
)

type interval struct{ from, to int64 }

// stats is what one run counted.
type stats struct {
	took          *hdr.Histogram // microseconds from caller to caller, of served requests
	tookWrite     *hdr.Histogram // the same of those that are not idempotent
	writes        int
	refusedWrites int
	offered       int
	served        int
	failed        int // answered with an error or broken off
	refused       int
	late          int // refused after having waited in the queue
	tries         int
	retries       int
	trials        int
	probes        []interval
	denied        int
	newest        time.Duration // last arrival of work at a leaving worker, after the notice
	taken         time.Duration // the same, of work that it took
	most          int           // requests queued or in flight at most
	lost          int           // tries that met a dead worker or a crash
	reached       [][]int       // requests at each worker in each reachStep
	until         int64         // last arrival
	ended         int64         // last answer
	reasons       [8]int
}

func newStats(workers int) *stats {
	return &stats{took: hdr.New(lowest, highest, digits), tookWrite: hdr.New(lowest, highest, digits), reached: make([][]int, workers)}
}

func (t *stats) afterDrain(age int64, took bool) {
	t.newest = max(t.newest, time.Duration(age))
	if took {
		t.taken = max(t.taken, time.Duration(age))
	}
}

func (t *stats) probeRan(from, to int64) { t.probes = append(t.probes, interval{from, to}) }

func (t *stats) refuse(r pool.Reason, write bool) {
	t.refused++
	if write {
		t.refusedWrites++
	}
	t.reasons[r]++
	if r == pool.DeadlineUp {
		t.late++
	}
}

func (t *stats) answer(took int64, write bool) {
	t.served++
	if write {
		_ = t.tookWrite.RecordValue(took / int64(time.Microsecond))
	}
	_ = t.took.RecordValue(took / int64(time.Microsecond))
}

func (t *stats) probeTime() (sum time.Duration) {
	for _, p := range t.probes {
		sum += time.Duration(p.to - p.from)
	}
	return sum
}

// worstWindow is the most target time spent on probes in any window.
func (t *stats) worstWindow(window time.Duration) (worst time.Duration) {
	for _, p := range t.probes {
		worst = max(worst, t.within(p.from, p.from+int64(window)), t.within(p.to-int64(window), p.to))
	}
	return worst
}

func (t *stats) within(from, to int64) (sum time.Duration) {
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
	reachStep  = 100 * time.Millisecond
	reachSteps = 3
	fairShare  = 0.8
)

func (t *stats) reach(worker int32, now int64) {
	step := int(now / int64(reachStep))
	for len(t.reached[worker]) <= step {
		t.reached[worker] = append(t.reached[worker], 0)
	}
	t.reached[worker][step]++
}

// usedAgain is the time from the end of a fault until the worker gets its share
// of the requests again, zero where it never ends within the run.
func (t *stats) usedAgain(worker int, end time.Duration) time.Duration {
	last := int(t.until/int64(reachStep)) - reachSteps
	first := int(end / reachStep)
	if first >= last {
		return 0
	}
	for step := first; step < last; step++ {
		own, all := t.share(worker, step)
		if own*float64(len(t.reached)) >= fairShare*all {
			return time.Duration(step-first) * reachStep
		}
	}
	return time.Duration(last-first) * reachStep
}

func (t *stats) share(worker, from int) (own, all float64) {
	for w, counts := range t.reached {
		for step := from; step < min(from+reachSteps, len(counts)); step++ {
			all += float64(counts[step])
			if w == worker {
				own += float64(counts[step])
			}
		}
	}
	return own, all
}
