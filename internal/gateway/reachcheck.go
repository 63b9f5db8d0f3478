package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

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
	cause := error(nil)
	if len(addresses) > 0 {
		cause = c.gateway.connectToMany(addresses, full)
	}
	c.enqueue(context.Background(), reachChecked{name, cause})
}

// connectToMany opens connections to targets. The error is nil if enough of them accept one.
func (g *Gateway) connectToMany(addresses []string, full bool) error {
	if !full {
		first := addresses[:min(firstCheckTargets, len(addresses))]
		if g.connect(first, len(first)/2+1, firstCheckWait) == nil {
			return nil
		}
	}
	addresses = addresses[:min(maxCheckTargets, len(addresses))]
	return g.connect(addresses, (len(addresses)+minReached-1)/minReached, targetConnectTimeout)
}

// connect opens connections to all of the addresses. The error is nil if at least so many accept
// one in time, and otherwise wraps that of the last failure.
func (g *Gateway) connect(addresses []string, enough int, timeout time.Duration) (err error) {
	accepted := 0
	defer func() {
		err = errors.WithMessagef(err, "%d of %d targets accepted a connection", accepted, len(addresses))
	}()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- g.forward.Connect(ctx, address) }()
	}
	for left := len(addresses); left > 0 && accepted+left >= enough; left-- {
		failure := <-results
		if failure != nil {
			err = failure
			continue
		}
		if accepted++; accepted == enough {
			return nil
		}
	}
	return err
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
