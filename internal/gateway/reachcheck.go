package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/pkg/slot"
)

// A check asks targets for connections. Answers on connections that were opened before a cut
// don't show that new ones can be opened.
const (
	// firstCheckTargets is how many targets a check asks first. If most of them accept a
	// connection within firstCheckWait, the service is in reach.
	firstCheckTargets = 3
	firstCheckWait    = 50 * time.Millisecond
	// maxCheckTargets is how many targets it asks otherwise. The service is out of reach if
	// fewer than one in minReached accept a connection: the rest could not take the load.
	maxCheckTargets = 32
	minReached      = 3
)

// runReachCheck asks targets for connections and reports the result to the control loop. full
// leaves out the first, small part of the check.
func (c *control) runReachCheck(name string, addresses []string, full bool) {
	reached := len(addresses) == 0 || c.gateway.reachesTargets(addresses, full)
	c.enqueue(context.Background(), reachChecked{name, reached})
}

// reachesTargets reports whether enough of the targets accept a connection.
func (g *Gateway) reachesTargets(addresses []string, full bool) bool {
	if !full {
		first := addresses[:min(firstCheckTargets, len(addresses))]
		if g.connects(first, len(first)/2+1, firstCheckWait) {
			return true
		}
	}
	addresses = addresses[:min(maxCheckTargets, len(addresses))]
	return g.connects(addresses, (len(addresses)+minReached-1)/minReached, targetConnectTimeout)
}

// connects reports whether at least so many of the addresses accept a connection in time.
func (g *Gateway) connects(addresses []string, enough int, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- g.forward.Connect(ctx, address) }()
	}
	for left := len(addresses); enough > 0 && left >= enough; left-- {
		if err := <-results; err == nil {
			enough--
		}
	}
	return enough == 0
}

// checkTargets returns the addresses that a check asks, in the order in which it asks them: one
// of each failure domain first.
func (s *service) checkTargets() (addresses []string) {
	targets := s.targetList()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	seen := make(map[string]bool)
	var later []string
	for _, t := range targets {
		if seen[t.Place] {
			later = append(later, t.Address)
			continue
		}
		seen[t.Place] = true
		addresses = append(addresses, t.Address)
	}
	return append(addresses, later...)
}

// targetList returns the targets.
func (s *service) targetList() []slot.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Targets()
}
