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
func (s *recent) span() time.Duration { return parts * s.part }

// add counts a request.
func (s *recent) add(now time.Time) {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	s.advance(now)
	if c := &s.counts[s.last%(parts+1)]; *c < 1<<16-1 {
		*c++
	}
}

// count returns the number of requests within the span, or slightly more.
func (s *recent) count(now time.Time) (n int) {
	if s.epoch.IsZero() {
		return 0
	}
	s.advance(now)
	for _, c := range s.counts {
		n += int(c)
	}
	return n
}

func (s *recent) advance(now time.Time) {
	bucket := int64(now.Sub(s.epoch) / s.part)
	if bucket-s.last > parts {
		clear(s.counts[:])
		s.last = bucket
	}
	for s.last < bucket {
		s.last++
		s.counts[s.last%(parts+1)] = 0
	}
}

// freeAt returns when the count falls below most if no request is added.
func (s *recent) free(now time.Time, most int) time.Time {
	n := s.count(now)
	if n < most {
		return now
	}
	for bucket := s.last - parts; bucket <= s.last; bucket++ {
		if bucket < 0 {
			continue
		}
		n -= int(s.counts[bucket%(parts+1)])
		if n < most {
			return s.epoch.Add(time.Duration(bucket+parts+1) * s.part)
		}
	}
	return now.Add(s.span())
}
