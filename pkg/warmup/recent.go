package warmup

import "time"

// recent counts what was sent to a target within Span. The zero value has counted
// nothing.
type recent struct {
	counts [parts + 1]uint16
	epoch  time.Time // beginning of part 0
	last   int64     // newest part that counts holds
}

const (
	parts = 10
	// partTime is the length of the parts that are counted together. A part counts
	// whole for as long as any of it lies within Span.
	partTime = Span / parts
)

// add notes a request.
func (r *recent) add(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	r.advance(now)
	if c := &r.counts[r.last%(parts+1)]; *c < 1<<16-1 {
		*c++
	}
}

// count returns how many were noted within Span, or a little longer.
func (r *recent) count(now time.Time) (n int) {
	if r.epoch.IsZero() {
		return 0
	}
	r.advance(now)
	for _, c := range r.counts {
		n += int(c)
	}
	return n
}

func (r *recent) advance(now time.Time) {
	part := int64(now.Sub(r.epoch) / partTime)
	if part-r.last > parts {
		clear(r.counts[:])
		r.last = part
	}
	for r.last < part {
		r.last++
		r.counts[r.last%(parts+1)] = 0
	}
}

// free is when fewer than most will have been noted within Span, if none is added.
func (r *recent) free(now time.Time, most int) time.Time {
	n := r.count(now)
	if n < most {
		return now
	}
	for part := r.last - parts; part <= r.last; part++ {
		if part < 0 {
			continue
		}
		n -= int(r.counts[part%(parts+1)])
		if n < most {
			return r.epoch.Add(time.Duration(part+parts+1) * partTime)
		}
	}
	return now.Add(Span)
}
