package route

import (
	"slices"
	"sync"
)

// Split deals requests out to the parts of a route in proportion to their
// weights. It is a smooth weighted round robin: after any number of requests
// each part is within one request of its share, where a coin would be off by
// the square root of their number and miss its share on a small sample.
type Split struct {
	mu     sync.Mutex
	parts  []Part
	credit []int
	total  int
}

// NewSplit returns a split of the parts.
func NewSplit(parts []Part) *Split {
	s := &Split{parts: parts, credit: make([]int, len(parts))}
	for _, p := range parts {
		s.total += p.Weight
	}
	return s
}

func (s *Split) same(parts []Part) bool {
	return slices.Equal(s.parts, parts)
}

// Next returns the service of the next request; it is empty where there are no
// parts.
func (s *Split) Next() string {
	switch len(s.parts) {
	case 0:
		return ""
	case 1:
		return s.parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= s.total
	return s.parts[best].Service
}
