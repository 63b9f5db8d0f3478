package quota

import "time"

// slidingCounter counts the requests to a target within a span.
type slidingCounter struct {
	bucketWidth time.Duration
	counts      [buckets + 1]uint16
	timeOrigin  time.Time // beginning of bucket 0
	newest      int64     // newest bucket in counts
}

// buckets is the number of buckets per span. A bucket counts in full while any part of it
// lies within the span.
const buckets = 10

func newSlidingCounter(span time.Duration) slidingCounter {
	return slidingCounter{bucketWidth: span / buckets}
}

// span returns the minimum time for which a request is counted.
func (s *slidingCounter) span() time.Duration { return buckets * s.bucketWidth }

// add counts a request.
func (s *slidingCounter) add(now time.Time) {
	if s.timeOrigin.IsZero() {
		s.timeOrigin = now
	}
	s.advance(now)
	if c := &s.counts[s.newest%(buckets+1)]; *c < 1<<16-1 {
		*c++
	}
}

// count returns the number of requests within the span, or slightly more.
func (s *slidingCounter) count(now time.Time) (n int) {
	if s.timeOrigin.IsZero() {
		return 0
	}
	s.advance(now)
	for _, c := range s.counts {
		n += int(c)
	}
	return n
}

func (s *slidingCounter) advance(now time.Time) {
	bucket := int64(now.Sub(s.timeOrigin) / s.bucketWidth)
	if bucket-s.newest > buckets {
		clear(s.counts[:])
		s.newest = bucket
	}
	for s.newest < bucket {
		s.newest++
		s.counts[s.newest%(buckets+1)] = 0
	}
}

// freeAt returns when the count falls below most if no request is added.
func (s *slidingCounter) freeAt(now time.Time, most int) time.Time {
	n := s.count(now)
	if n < most {
		return now
	}
	for bucket := s.newest - buckets; bucket <= s.newest; bucket++ {
		if bucket < 0 {
			continue
		}
		n -= int(s.counts[bucket%(buckets+1)])
		if n < most {
			return s.timeOrigin.Add(time.Duration(bucket+buckets+1) * s.bucketWidth)
		}
	}
	return now.Add(s.span())
}
