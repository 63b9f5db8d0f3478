package pace

import (
	"slices"
	"time"
)

// window is the length of a part of the time whose worst ones count by
// themselves.
const window = 2 * time.Second

// stat is what a run was worth.
type stat struct {
	credit    []float64 // by window
	owed      []float64
	served    int // requests that some target answered, also late
	attempts  int
	questions int
}

func newStat(length time.Duration) stat {
	n := int(length/window) + 1
	return stat{credit: make([]float64, n), owed: make([]float64, n)}
}

// add files a caller's request by the time of its first attempt.
func (s *stat) add(first time.Duration, credit float64) {
	i := min(int(first/window), len(s.owed)-1)
	s.credit[i] += credit
	s.owed[i]++
	if credit > 0 {
		s.served++
	}
}

// Weights of the users' measure: the whole time, its two worst windows, and the
// share that is served at all.
const (
	wholeWeight  = 0.40
	worstWeight  = 0.40
	servedWeight = 0.20
	worstWindows = 2
)

// worth is the users' measure, less the price of questions.
func (s *stat) worth(shape Shape) float64 {
	var credit, owed float64
	var shares []float64
	for i := range s.owed {
		credit += s.credit[i]
		owed += s.owed[i]
		if s.owed[i] > 0 {
			shares = append(shares, s.credit[i]/s.owed[i])
		}
	}
	if owed == 0 {
		return 0
	}
	slices.Sort(shares)
	worst := 0.0
	for _, v := range shares[:min(worstWindows, len(shares))] {
		worst += v / float64(min(worstWindows, len(shares)))
	}
	price := shape.Probe * float64(s.questions) / owed
	return wholeWeight*credit/owed + worstWeight*worst + servedWeight*float64(s.served)/owed - price
}
