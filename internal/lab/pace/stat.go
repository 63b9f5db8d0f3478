package pace

import (
	"slices"
	"time"
)

// windowLength is the length of the windows of a run. The windows with the lowest
// credit count separately in the score.
const window = 2 * time.Second

// stats holds the results of a run.
type stat struct {
	credit    []float64 // by window
	owed      []float64 // requests by window
	served    int       // requests with credit, also those served after the objective
	attempts  int
	questions int
}

func newStat(length time.Duration) stat {
	n := int(length/window) + 1
	return stat{credit: make([]float64, n), owed: make([]float64, n)}
}

// add counts a caller's request in the window of its first attempt.
func (s *stat) add(first time.Duration, credit float64) {
	i := min(int(first/window), len(s.owed)-1)
	s.credit[i] += credit
	s.owed[i]++
	if credit > 0 {
		s.served++
	}
}

// Weights of the users' score: the credit of the whole run, that of its two worst
// windows, and the share of requests that are served at all.
const (
	wholeWeight  = 0.40
	worstWeight  = 0.40
	servedWeight = 0.20
	worstWindows = 2
)

// score returns the users' score, less the cost of the probes.
func (s *stat) worth(shape Shape) float64 {
	var credit, requests float64
	var shares []float64
	for i := range s.owed {
		credit += s.credit[i]
		requests += s.owed[i]
		if s.owed[i] > 0 {
			shares = append(shares, s.credit[i]/s.owed[i])
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
	probeCost := shape.Probe * float64(s.questions) / requests
	return wholeWeight*credit/requests + worstWeight*worst + servedWeight*float64(s.served)/requests - probeCost
}
