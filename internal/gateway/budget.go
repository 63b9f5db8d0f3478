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
	// retryShareMargin scales down the share of retries and hedges that the platform
	// allows, so that all entries together stay below it: requests at the edge of a
	// window are counted late.
	retryShareMargin = 0.85
	// burstDivisor divides an entry's part of the slack, the retries and hedges that all
	// entries may send beyond the share in one window. The budget keeps two buckets,
	// and half is reserved for entries that do not receive each other's reports and for
	// entries whose callers have just moved to others.
	burstDivisor = 4
	// maxBurstShare is the largest share of the traffic on which an entry bases its
	// burst. An isolated entry sees itself as serving all of it.
	maxBurstShare = 0.5
)

// retryBudget returns this entry's part of the budget that all entries share. Its own
// requests fill it; shareRetries sets how much it may save up.
func retryBudget(b platform.Bounds) *call.Budget {
	budget := call.NewBudget(call.BudgetConfig{Burst: 1})
	budget.SetRetryShare(b.RetryShare * retryShareMargin)
	return budget
}

// retryBurst returns how many retries and hedges an entry with this share of all requests
// may save up in each bucket. It keeps all entries together within the slack, although
// none knows what the others spend. The slack is not divided by the number of entries:
// part of it would go to entries without callers, and an entry that knows few others
// would take too much. When 123 entries started together, they took seven times the slack.
func retryBurst(b platform.Bounds, share float64) int {
	return int(float64(b.RetrySlack) * min(share, maxBurstShare) / burstDivisor)
}

// shareRetries updates the retry budgets of all services: the ratio from the settings and
// the burst from this entry's share of all requests. Once per retry window it also ages
// what the budgets have saved up.
func (c *control) shareRetries(now time.Time) {
	b := *c.gateway.bounds.Load()
	aged := now.Sub(c.retryAgedAt) >= b.RetryWindow
	if aged {
		c.retryAgedAt = now
	}
	share := c.trafficShare()
	burst := retryBurst(b, share)
	for _, s := range c.services {
		s.shareRetries(b.RetryShare, burst, aged)
	}
	for _, s := range c.removedServices {
		s.shareRetries(b.RetryShare, burst, aged)
	}
	c.logRetryShare(retryShare{trafficShare: share, ratio: b.RetryShare, burst: burst})
}

func (s *service) shareRetries(ratio float64, burst int, aged bool) {
	if aged {
		s.budget.StartPeriod()
	}
	s.budget.SetRetryShare(ratio * retryShareMargin)
	s.budget.SetBurst(burst)
}

// retryShare is this entry's part of the budget that all entries share.
type retryShare struct {
	trafficShare float64 // share of all requests that this entry gets
	ratio        float64 // retries and hedges per request
	burst        int     // retries and hedges that may be saved up in each bucket
}

// logRetryShare logs this entry's part of the budget if the ratio has changed or the burst
// has changed by more than a factor of two.
func (c *control) logRetryShare(r retryShare) {
	const loggedFactor = 2
	c.retryShare = r
	old := c.logged.retryShare
	if r.ratio == old.ratio && r.burst <= loggedFactor*max(old.burst, 1) && old.burst <= loggedFactor*max(r.burst, 1) {
		return
	}
	c.logged.retryShare = r
	contact := c.members.Contact()
	c.gateway.log.WithFields(log.Fields{
		"ratio": r.ratio, "burst": r.burst, "before": old.burst, "part": math.Round(100*r.trafficShare) / 100,
		"up": contact.Up, "known": contact.Known,
	}).Info("part of the retry budget changed")
}

// trafficShare returns this entry's share of all requests. For a host whose total rate no
// entry has announced yet, it assumes that every live entry gets as many requests as this
// one.
func (c *control) trafficShare() float64 {
	var own, all float64
	for host, r := range c.hosts.rates {
		own += r.mean
		if n, ok := c.gossipedCounts.Get(owner.HostID(host)); ok {
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
