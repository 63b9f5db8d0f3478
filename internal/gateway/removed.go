package gateway

import "time"

const (
	// removedServiceTTL is how long a service is kept after the configuration removed it.
	// A rollback of the configuration brings it back with the same targets.
	removedServiceTTL = 10 * time.Minute
	// maxRemovedServices bounds the kept services that have no requests.
	maxRemovedServices = 256
)

// removedService is a service that the configuration no longer contains. It is kept so
// that its targets' reports, such as leaving, still apply if the service comes back.
type removedService struct {
	*service
	since time.Time
}

// updateRemoved keeps the current services that are not in next. Of the kept ones it deletes
// those that are in next again and, if they have no requests, those that have expired or
// exceed maxRemovedServices.
func (c *control) updateRemoved(now time.Time, next map[string]*service) {
	for name, sv := range c.services {
		if next[name] != sv {
			c.removedServices[name] = removedService{sv, now}
		}
	}
	idle := 0
	for name, removed := range c.removedServices {
		switch {
		case next[name] == removed.service:
			delete(c.removedServices, name)
		case removed.active():
		case now.Sub(removed.since) > removedServiceTTL || idle >= maxRemovedServices:
			delete(c.removedServices, name)
		default:
			idle++
		}
	}
}
