package tail

import (
	"slices"
	"time"
)

// spread is one figure over the seeds.
type spread struct{ mid, low, high float64 }

func spreadOf(values []float64) spread {
	v := slices.Clone(values)
	slices.Sort(v)
	return spread{mid: v[len(v)/2], low: v[0], high: v[len(v)-1]}
}

// row is one line of a table: what was run and what it gave.
type row struct {
	group string // rows of one group share a mark
	way   string
	sc    scenario

	p50, p99, p999 spread // milliseconds
	refused        spread // percent of requests
	write99        spread // p99 of requests that are not idempotent, milliseconds
	writesRefused  spread // percent of these
	late           spread // percent of requests, refused after a wait
	failed         spread // percent of requests
	probes         spread // a second
	share          spread // percent of target time
	worst          spread // milliseconds of probes in any 100 ms
	retries        spread // percent of first tries
	trials         spread // percent of first tries
	goodput        spread // percent of the capacity of the workers
	lost           spread // tries that met a dead worker or a crash
	drained        spread // milliseconds from the notice to the last new work
	again          spread // milliseconds from the end of a fault to full use
	closed         float64
	hasClosed      bool
}

func (r *row) sum(all []*stats) {
	ms := func(q float64) spread {
		return over(all, func(t *stats) float64 { return float64(t.took.ValueAtQuantile(q)) / 1000 })
	}
	r.p50, r.p99, r.p999 = ms(50), ms(99), ms(99.9)
	percent := func(n func(t *stats) int) spread {
		return over(all, func(t *stats) float64 { return 100 * float64(n(t)) / float64(t.offered) })
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

func seconds(t *stats) float64 { return time.Duration(t.until).Seconds() }

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func over(all []*stats, f func(*stats) float64) spread {
	values := make([]float64, len(all))
	for i, t := range all {
		values[i] = f(t)
	}
	return spreadOf(values)
}

// close99 tells how much of the p99 that lies between two choices at all
// entries and the omniscient queue each row closes.
func close99(rows []row) {
	for i := range rows {
		r := &rows[i]
		best, base := named(rows, r.group, wayMark), named(rows, r.group, wayTwo)
		if best == nil || base == nil || base.p99.mid <= best.p99.mid {
			continue
		}
		r.closed = 100 * (base.p99.mid - r.p99.mid) / (base.p99.mid - best.p99.mid)
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

// usedAgain is the longest time until a worker is used fully after its fault.
func (r *row) usedAgain(t *stats) (most time.Duration) {
	if r.sc.policy == omniscient {
		return 0
	}
	for _, f := range r.sc.faults {
		most = max(most, t.usedAgain(f.worker, f.to))
	}
	return most
}
