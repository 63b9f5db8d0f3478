package slot

import "time"

// usual is the time that work takes at a target that is idle and not slow.
type usual struct {
	mean  time.Duration
	count int
}

// add takes one answer. The first ones weigh as much as their number says.
func (u *usual) add(took time.Duration) {
	const most = 64
	u.count = min(u.count+1, most)
	u.mean += (took - u.mean) / time.Duration(u.count)
}

// usuals are the usual times of a service's classes of requests. A service has
// no single one: requests of 2 ms on rarely used routes drew it to 1 ms where
// most work takes 120, and every target seemed good enough for all of it.
type usuals struct {
	all   usual
	class map[string]*usual
}

const (
	// classKnown is how many answers a class needs for a time of its own.
	classKnown = 4
	// classesKept bounds the classes; beyond that all are learnt anew.
	classesKept = 1024
)

func newUsuals(before time.Duration) usuals {
	return usuals{all: usual{mean: before}, class: make(map[string]*usual)}
}

// of returns the time of a class, that over all while it isn't known.
func (u *usuals) of(class string) time.Duration {
	if c := u.class[class]; c != nil && c.count >= classKnown {
		return c.mean
	}
	return u.all.mean
}

func (u *usuals) add(class string, took time.Duration) {
	u.all.add(took)
	c := u.class[class]
	if c == nil {
		if len(u.class) >= classesKept {
			clear(u.class)
		}
		c = &usual{}
		u.class[class] = c
	}
	c.add(took)
}
