package gateway

import (
	"math"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/platform"
)

const (
	// retryMargin keeps the entries together below the share of repeats that the
	// platform allows: requests at the edge of a window count late.
	retryMargin = 0.85
	// burstParts is in how many parts an entry's part of the slack is cut: the
	// budget keeps two buckets, and half is left for entries that hear nothing of
	// each other and for those whose requests have just gone to others.
	burstParts = 4
	// burstShare is the largest part of all requests that an entry reckons with.
	// One that is cut off from all others would take all for its own.
	burstShare = 0.5
)

// retryBudget is this entry's part of the budget that all entries share.
// Repeats come out of its own requests; shareRetries tells what it may save up.
func retryBudget(b platform.Bounds) *call.Budget {
	budget := call.NewBudget(call.BudgetConfig{Burst: 1})
	budget.SetShare(b.RetryShare * retryMargin)
	return budget
}

// retryBurst is what an entry with such a part of all requests may save up in
// each bucket, so that together they keep to the slack though none knows what
// the others spend. Cut by the number of entries instead, it lies at
// entries that callers aren't sent to, and one that knows of few others takes
// too much: with 123 that start together, seven times the slack.
func retryBurst(b platform.Bounds, share float64) int {
	return int(float64(b.RetrySlack) * min(share, burstShare) / burstParts)
}

// shareRetries sets the ratio of the budgets of all services, and lets them save up by
// this entry's part of all requests. What is saved up ages by the window in which repeats
// are counted.
func (c *control) shareRetries(now time.Time) {
	b := *c.gateway.bounds.Load()
	aged := now.Sub(c.aged) >= b.RetryWindow
	if aged {
		c.aged = now
	}
	part := c.share()
	burst := retryBurst(b, part)
	for _, s := range c.services {
		s.shareRetries(b.RetryShare, burst, aged)
	}
	for _, s := range c.dropped {
		s.shareRetries(b.RetryShare, burst, aged)
	}
	c.logRetries(retryShare{part: part, ratio: b.RetryShare, burst: burst})
}

func (s *service) shareRetries(ratio float64, burst int, aged bool) {
	if aged {
		s.budget.Age()
	}
	s.budget.SetShare(ratio * retryMargin)
	s.budget.SetBurst(burst)
}

// retryShare is what this entry takes of the budget that all entries share.
type retryShare struct {
	part  float64 // of all requests
	ratio float64 // repeats for each request
	burst int     // repeats that may be saved up in each bucket
}

// logRetries logs what the entry takes of the budget where that has changed much.
func (c *control) logRetries(r retryShare) {
	const much = 2
	c.shared = r
	old := c.believed.retries
	if r.ratio == old.ratio && r.burst <= much*max(old.burst, 1) && old.burst <= much*max(r.burst, 1) {
		return
	}
	c.believed.retries = r
	c.gateway.log.WithFields(log.Fields{
		"ratio": r.ratio, "burst": r.burst, "before": old.burst, "part": math.Round(100*r.part) / 100,
	}).Info("part of the retry budget changed")
}

// share is this entry's part of all requests. Of a host on which there is no word
// yet, all entries are taken to get as many.
func (c *control) share() float64 {
	var own, all float64
	for host, r := range c.hosts.rates {
		own += r.mean
		if n, told := c.numbers.Of(owner.HostID(host)); told {
			all += max(n.Rate, r.mean)
		} else {
			all += r.mean * float64(len(c.live()))
		}
	}
	if all == 0 {
		return 0
	}
	return own / all
}
