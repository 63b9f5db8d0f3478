package quota

import "time"

// slidingCounter counts the requests to a target within a span.
type recent struct {
	part   time.Duration
	counts [parts + 1]uint16
	epoch  time.Time // beginning of bucket 0
	last   int64     // newest bucket in counts
}

// buckets is the number of buckets per span. A bucket counts in full while any part of it
// lies within the span.
const parts = 10

func newRecent(span time.Duration) recent { return recent{part: span / parts} }

// span returns the minimum time for which a request is counted.
func (r *recent) span() time.Duration { return parts * r.part }

// add counts a request.
func (r *recent) add(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	r.advance(now)
	if c := &r.counts[r.last%(parts+1)]; *c < 1<<16-1 {
		*c++
	}
}

// count returns the number of requests within the span, or slightly more.
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
	bucket := int64(now.Sub(r.epoch) / r.part)
	if bucket-r.last > parts {
		clear(r.counts[:])
		r.last = bucket
	}
	for r.last < bucket {
		r.last++
		r.counts[r.last%(parts+1)] = 0
	}
}

// freeAt returns when the count falls below most if no request is added.
func (r *recent) free(now time.Time, most int) time.Time {
	n := r.count(now)
	if n < most {
		return now
	}
	for bucket := r.last - parts; bucket <= r.last; bucket++ {
		if bucket < 0 {
			continue
		}
		n -= int(r.counts[bucket%(parts+1)])
		if n < most {
			return r.epoch.Add(time.Duration(bucket+parts+1) * r.part)
		}
	}
	return now.Add(r.span())
}
