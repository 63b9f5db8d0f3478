package slot

import "time"

// meanTime is a moving average of the service time at targets that are idle and not slow.
type meanTime struct {
	mean    time.Duration
	samples int
}

// add updates the mean. It is a plain average until the number of samples reaches maxSamples.
func (m *meanTime) add(serviceTime time.Duration) {
	const maxSamples = 64
	m.samples = min(m.samples+1, maxSamples)
	m.mean += (serviceTime - m.mean) / time.Duration(m.samples)
}

// serviceTimes holds the baseline service time of each request class of a service. A single
// mean isn't enough: 2 ms requests on rarely used routes pulled it down to 1 ms where most
// requests take 120 ms, and every target seemed fast enough for all of them.
type serviceTimes struct {
	overall meanTime
	byClass map[string]*meanTime
}

const (
	// minClassSamples is the number of samples after which a class has its own mean.
	minClassSamples = 4
	// maxClasses bounds the number of classes; one class more clears them all.
	maxClasses = 1024
)

func newServiceTimes(initial time.Duration) serviceTimes {
	return serviceTimes{overall: meanTime{mean: initial}, byClass: make(map[string]*meanTime)}
}

// forClass returns the mean of the class, or the overall mean while the class has too few
// samples.
func (s *serviceTimes) forClass(class string) time.Duration {
	if c := s.byClass[class]; c != nil && c.samples >= minClassSamples {
		return c.mean
	}
	return s.overall.mean
}

func (s *serviceTimes) add(class string, serviceTime time.Duration) {
	s.overall.add(serviceTime)
	c := s.byClass[class]
	if c == nil {
		if len(s.byClass) >= maxClasses {
			clear(s.byClass)
		}
		c = &meanTime{}
		s.byClass[class] = c
	}
	c.add(serviceTime)
}
