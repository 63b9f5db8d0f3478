package tail

import (
	"slices"
	"time"
)

// spread is the median and the range of one figure over the seeds.
type spread struct{ median, low, high float64 }

func spreadOf(values []float64) spread {
	v := slices.Clone(values)
	slices.Sort(v)
	return spread{median: v[len(v)/2], low: v[0], high: v[len(v)-1]}
}

// row is one line of a table: a scenario and its results.
type row struct {
	group string // rows of one group are compared with each other
	way   string // how the requests are balanced
	sc    scenario

	p50, p99, p999   spread  // milliseconds
	refused          spread  // percent of requests
	writeP99         spread  // p99 of non-idempotent requests, milliseconds
	writesRefused    spread  // percent of non-idempotent requests
	refusedAfterWait spread  // percent of requests
	failed           spread  // percent of requests
	probeRate        spread  // per second
	probeShare       spread  // percent of the time of all slots
	peakProbeTime    spread  // milliseconds that all workers spend on probes in the worst 100 ms
	retries          spread  // percent of requests
	trials           spread  // percent of requests
	goodput          spread  // served requests, percent of the capacity of all workers
	lostDispatches   spread  // dispatches that were shed or met a dead or crashing worker
	lastNewWork      spread  // milliseconds from the order to leave to the last request accepted
	recovery         spread  // milliseconds from the end of a fault until the worker is used fully
	gapClosed        float64 // percent, see computeGapClosed
	hasGapClosed     bool
}

// aggregate computes the figures of the row from its runs, one per seed.
func (r *row) aggregate(all []*stats) {
	ms := func(q float64) spread {
		return overSeeds(all, func(t *stats) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 })
	}
	r.p50, r.p99, r.p999 = ms(50), ms(99), ms(99.9)
	percent := func(count func(t *stats) int) spread {
		return overSeeds(all, func(t *stats) float64 { return 100 * float64(count(t)) / float64(t.offered) })
	}
	r.refused = percent(func(t *stats) int { return t.refused })
	r.writeP99 = overSeeds(all, func(t *stats) float64 { return float64(t.writeLatency.ValueAtQuantile(99)) / 1000 })
	r.writesRefused = overSeeds(all, func(t *stats) float64 { return 100 * float64(t.refusedWrites) / float64(max(t.writes, 1)) })
	r.refusedAfterWait = percent(func(t *stats) int { return t.refusedAfterWait })
	r.failed = percent(func(t *stats) int { return t.failed })
	r.retries = percent(func(t *stats) int { return t.retries })
	r.trials = percent(func(t *stats) int { return t.trials })
	r.lostDispatches = overSeeds(all, func(t *stats) float64 { return float64(t.lostDispatches) })
	r.probeRate = overSeeds(all, func(t *stats) float64 { return float64(len(t.probes)) / arrivalSeconds(t) })
	r.probeShare = overSeeds(all, func(t *stats) float64 {
		return 100 * t.probeTime().Seconds() / arrivalSeconds(t) / float64(r.sc.shape.Workers*r.sc.shape.Slots)
	})
	r.peakProbeTime = overSeeds(all, func(t *stats) float64 { return inMillis(t.peakProbeTime(100 * time.Millisecond)) })
	r.goodput = overSeeds(all, func(t *stats) float64 {
		return 100 * float64(t.served) / time.Duration(t.lastEnd).Seconds() / r.sc.shape.capacity()
	})
	r.recovery = overSeeds(all, func(t *stats) float64 { return inMillis(r.recoveryTime(t)) })
	r.lastNewWork = overSeeds(all, func(t *stats) float64 { return inMillis(t.lastAccepted) })
}

// arrivalSeconds returns the time from the start to the last arrival.
func arrivalSeconds(t *stats) float64 { return time.Duration(t.lastArrival).Seconds() }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func overSeeds(all []*stats, f func(*stats) float64) spread {
	values := make([]float64, len(all))
	for i, t := range all {
		values[i] = f(t)
	}
	return spreadOf(values)
}

// computeGapClosed computes for each row how much of the gap in p99 it closes. The
// gap lies between two choices at all entries and the omniscient queue.
func computeGapClosed(rows []row) {
	for i := range rows {
		r := &rows[i]
		reference, base := findRow(rows, r.group, wayOmniscient), findRow(rows, r.group, wayTwoChoices)
		if reference == nil || base == nil || base.p99.median <= reference.p99.median {
			continue
		}
		r.gapClosed = 100 * (base.p99.median - r.p99.median) / (base.p99.median - reference.p99.median)
		r.hasGapClosed = true
	}
}

func findRow(rows []row, group, way string) *row {
	for i := range rows {
		if rows[i].group == group && rows[i].way == way {
			return &rows[i]
		}
	}
	return nil
}

// recoveryTime returns the longest time until a worker is used fully after its
// fault.
func (r *row) recoveryTime(t *stats) (longest time.Duration) {
	if r.sc.policy == policyOmniscient {
		return 0
	}
	for _, f := range r.sc.faults {
		longest = max(longest, t.recoveryTime(f.worker, f.to))
	}
	return longest
}
