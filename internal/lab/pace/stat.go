package pace

import (
	"slices"
	"time"
)

// windowLength is the length of the windows of a run. The windows with the lowest
// credit count separately in the score.
const windowLength = 2 * time.Second

// stats holds the results of a run.
type stats struct {
	credit   []float64 // by window
	requests []float64 // requests by window
	served   int       // requests with credit, also those served after the objective
	attempts int
	probes   int
}

func newStats(length time.Duration) stats {
	n := int(length/windowLength) + 1
	return stats{credit: make([]float64, n), requests: make([]float64, n)}
}

// add counts a caller's request in the window of its first attempt.
func (s *stats) add(first time.Duration, credit float64) {
	i := min(int(first/windowLength), len(s.requests)-1)
	s.credit[i] += credit
	s.requests[i]++
	if credit > 0 {
		s.served++
	}
}

// Weights of the users' score: the credit of the whole run, that of its two worst
// windows, and the share of requests that are served at all.
const (
	overallWeight = 0.40
	worstWeight   = 0.40
	servedWeight  = 0.20
	worstWindows  = 2
)

// score returns the users' score, less the cost of the probes.
func (s *stats) score(shape Shape) float64 {
	var credit, requests float64
	var shares []float64
	for i := range s.requests {
		credit += s.credit[i]
		requests += s.requests[i]
		if s.requests[i] > 0 {
			shares = append(shares, s.credit[i]/s.requests[i])
		}
	}
	if requests == 0 {
		return 0
	}
	slices.Sort(shares)
	worst := 0.0
	for _, v := range shares[:min(worstWindows, len(shares))] {
		worst += v / float64(min(worstWindows, len(shares)))
	}
	probeCost := shape.ProbeCost * float64(s.probes) / requests
	return overallWeight*credit/requests + worstWeight*worst + servedWeight*float64(s.served)/requests - probeCost
}
