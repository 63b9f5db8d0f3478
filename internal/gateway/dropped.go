package gateway

import "time"

const (
	// droppedKept is how long a service is remembered that the configuration has no more:
	// one that is rolled back brings it back with the same targets.
	droppedKept = 10 * time.Minute
	// droppedMost bounds how many are remembered without requests.
	droppedMost = 256
)

// droppedService is a service that the configuration has no more. What its targets have
// reported in responses is still to hold when it is back.
type droppedService struct {
	*service
	since time.Time
}

// drop remembers services that the next ones lack, and forgets those that are back or
// have been away for long.
func (c *control) drop(now time.Time, next map[string]*service) {
	for name, sv := range c.services {
		if next[name] != sv {
			c.dropped[name] = droppedService{sv, now}
		}
	}
	idle := 0
	for name, d := range c.dropped {
		switch {
		case next[name] == d.service:
			delete(c.dropped, name)
		case d.busy():
		case now.Sub(d.since) > droppedKept || idle >= droppedMost:
			delete(c.dropped, name)
		default:
			idle++
		}
	}
}
