package route

import (
	"slices"
	"sync"
)

// Split distributes the requests of a route to its services in proportion to their
// weights, by smooth weighted round robin. After any number of requests each service is
// within one request of its share. With a random choice the error would be about the
// square root of the number of requests, which is too much in a small sample.
type Split struct {
	mu          sync.Mutex
	services    []WeightedService
	credit      []int
	totalWeight int
}

// NewSplit returns a split among services.
func NewSplit(services []WeightedService) *Split {
	s := &Split{services: services, credit: make([]int, len(services))}
	for _, ws := range services {
		s.totalWeight += ws.Weight
	}
	return s
}

// same reports whether the split has the same services and weights.
func (s *Split) same(services []WeightedService) bool {
	return slices.Equal(s.services, services)
}

// Next returns the name of the service for the next request, or an empty string if
// there is none.
func (s *Split) Next() string {
	switch len(s.services) {
	case 0:
		return ""
	case 1:
		return s.services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.best()
	for i, ws := range s.services {
		s.credit[i] += ws.Weight
	}
	s.credit[best] -= s.totalWeight
	return s.services[best].Service
}

// Peek returns what Next would return, without counting a request. A request that is refused must
// not take the turn of one that runs.
func (s *Split) Peek() string {
	if len(s.services) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[s.best()].Service
}

// best returns the index of the service whose credit is the highest after its weight is added.
func (s *Split) best() (best int) {
	for i, ws := range s.services {
		if s.credit[i]+ws.Weight > s.credit[best]+s.services[best].Weight {
			best = i
		}
	}
	return best
}
