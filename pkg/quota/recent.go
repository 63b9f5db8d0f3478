package quota

import "time"

// recent counts what was sent to a target within a span.
type recent struct {
	part   time.Duration
	counts [parts + 1]uint16
	epoch  time.Time // beginning of part 0
	last   int64     // newest part that counts holds
}

// parts is how many parts of a span are counted together. A part counts whole for as
// long as any of it lies within the span.
const parts = 10

func newRecent(span time.Duration) recent { return recent{part: span / parts} }

// span is the time that the requests in it are counted for at least.
func (r *recent) span() time.Duration { return parts * r.part }

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

// count returns how many were noted within the span, or a little longer.
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
	part := int64(now.Sub(r.epoch) / r.part)
	if part-r.last > parts {
		clear(r.counts[:])
		r.last = part
	}
	for r.last < part {
		r.last++
		r.counts[r.last%(parts+1)] = 0
	}
}

// free is when fewer than most will have been noted within the span, if none is added.
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
			return r.epoch.Add(time.Duration(part+parts+1) * r.part)
		}
	}
	return now.Add(r.span())
}
