package tail

import (
	"slices"
	"time"
)

// spread is the median and the range of one figure over the seeds.
type spread struct{ mid, low, high float64 }

func spreadOf(values []float64) spread {
	v := slices.Clone(values)
	slices.Sort(v)
	return spread{mid: v[len(v)/2], low: v[0], high: v[len(v)-1]}
}

// row is one line of a table: a scenario and its results.
type row struct {
	group string // rows of one group are compared with each other
	way   string // how the requests are balanced
	sc    scenario

	p50, p99, p999 spread  // milliseconds
	refused        spread  // percent of requests
	write99        spread  // p99 of non-idempotent requests, milliseconds
	writesRefused  spread  // percent of non-idempotent requests
	late           spread  // percent of requests
	failed         spread  // percent of requests
	probes         spread  // per second
	share          spread  // percent of the time of all slots
	worst          spread  // milliseconds that all workers spend on probes in the worst 100 ms
	retries        spread  // percent of requests
	trials         spread  // percent of requests
	goodput        spread  // served requests, percent of the capacity of all workers
	lost           spread  // dispatches that were shed or met a dead or crashing worker
	drained        spread  // milliseconds from the order to leave to the last request accepted
	again          spread  // milliseconds from the end of a fault until the worker is used fully
	closed         float64 // percent, see computeGapClosed
	hasClosed      bool
}

// aggregate computes the figures of the row from its runs, one per seed.
func (r *row) sum(all []*stats) {
	ms := func(q float64) spread {
		return over(all, func(t *stats) float64 { return float64(t.took.ValueAtQuantile(q)) / 1000 })
	}
	r.p50, r.p99, r.p999 = ms(50), ms(99), ms(99.9)
	percent := func(count func(t *stats) int) spread {
		return over(all, func(t *stats) float64 { return 100 * float64(count(t)) / float64(t.offered) })
	}
	r.refused = percent(func(t *stats) int { return t.refused })
	r.write99 = over(all, func(t *stats) float64 { return float64(t.tookWrite.ValueAtQuantile(99)) / 1000 })
	r.writesRefused = over(all, func(t *stats) float64 { return 100 * float64(t.refusedWrites) / float64(max(t.writes, 1)) })
	r.late = percent(func(t *stats) int { return t.late })
	r.failed = percent(func(t *stats) int { return t.failed })
	r.retries = percent(func(t *stats) int { return t.retries })
	r.trials = percent(func(t *stats) int { return t.trials })
	r.lost = over(all, func(t *stats) float64 { return float64(t.lost) })
	r.probes = over(all, func(t *stats) float64 { return float64(len(t.probes)) / seconds(t) })
	r.share = over(all, func(t *stats) float64 {
		return 100 * t.probeTime().Seconds() / seconds(t) / float64(r.sc.shape.Workers*r.sc.shape.Slots)
	})
	r.worst = over(all, func(t *stats) float64 { return inMillis(t.worstWindow(100 * time.Millisecond)) })
	r.goodput = over(all, func(t *stats) float64 {
		return 100 * float64(t.served) / time.Duration(t.ended).Seconds() / r.sc.shape.capacity()
	})
	r.again = over(all, func(t *stats) float64 { return inMillis(r.usedAgain(t)) })
	r.drained = over(all, func(t *stats) float64 { return inMillis(t.taken) })
}

// arrivalSeconds returns the time from the start to the last arrival.
func seconds(t *stats) float64 { return time.Duration(t.until).Seconds() }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func over(all []*stats, f func(*stats) float64) spread {
	values := make([]float64, len(all))
	for i, t := range all {
		values[i] = f(t)
	}
	return spreadOf(values)
}

// computeGapClosed computes for each row how much of the gap in p99 it closes. The
// gap lies between two choices at all entries and the omniscient queue.
func close99(rows []row) {
	for i := range rows {
		r := &rows[i]
		reference, base := named(rows, r.group, wayMark), named(rows, r.group, wayTwo)
		if reference == nil || base == nil || base.p99.mid <= reference.p99.mid {
			continue
		}
		r.closed = 100 * (base.p99.mid - r.p99.mid) / (base.p99.mid - reference.p99.mid)
		r.hasClosed = true
	}
}

func named(rows []row, group, way string) *row {
	for i := range rows {
		if rows[i].group == group && rows[i].way == way {
			return &rows[i]
		}
	}
	return nil
}

// recoveryTime returns the longest time until a worker is used fully after its
// fault.
func (r *row) usedAgain(t *stats) (longest time.Duration) {
	if r.sc.policy == omniscient {
		return 0
	}
	for _, f := range r.sc.faults {
		longest = max(longest, t.usedAgain(f.worker, f.to))
	}
	return longest
}
