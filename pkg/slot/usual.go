package slot

import "time"

// meanTime is a moving average of the service time at targets that are idle and not slow.
type usual struct {
	mean  time.Duration
	count int
}

// add updates the mean. It is a plain average until the number of samples reaches maxSamples.
func (u *usual) add(serviceTime time.Duration) {
	const maxSamples = 64
	u.count = min(u.count+1, maxSamples)
	u.mean += (serviceTime - u.mean) / time.Duration(u.count)
}

// serviceTimes holds the baseline service time of each request class of a service. A single
// mean isn't enough: 2 ms requests on rarely used routes pulled it down to 1 ms where most
// requests take 120 ms, and every target seemed fast enough for all of them.
type usuals struct {
	all   usual
	class map[string]*usual
}

const (
	// minClassSamples is the number of samples after which a class has its own mean.
	classKnown = 4
	// maxClasses bounds the number of classes; one class more clears them all.
	classesKept = 1024
)

func newUsuals(initial time.Duration) usuals {
	return usuals{all: usual{mean: initial}, class: make(map[string]*usual)}
}

// forClass returns the mean of the class, or the overall mean while the class has too few
// samples.
func (u *usuals) of(class string) time.Duration {
	if c := u.class[class]; c != nil && c.count >= classKnown {
		return c.mean
	}
	return u.all.mean
}

func (u *usuals) add(class string, serviceTime time.Duration) {
	u.all.add(serviceTime)
	c := u.class[class]
	if c == nil {
		if len(u.class) >= classesKept {
			clear(u.class)
		}
		c = &usual{}
		u.class[class] = c
	}
	c.add(serviceTime)
}
