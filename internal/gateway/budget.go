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
	// retryBuckets is how many buckets the requests of callers fill (call.Budget).
	retryBuckets = 2
	// burstDivisor divides an entry's part of the slack, the retries and hedges that all
	// entries may send beyond the share in one window. The budget keeps two buckets,
	// and half is reserved for entries whose callers have just moved to others.
	burstDivisor = 4
	// maxBurstShare is the largest share of the traffic on which an entry bases its
	// burst.
	maxBurstShare = 0.5
	// ownBurstDivisor divides the window of the budget. Without any part of the slack, an
	// entry may save up what its own requests of that part of the window have earned.
	// All entries together then exceed the retry share by a tenth at most, whatever they
	// know of each other, and retryShareMargin leaves more room than that.
	ownBurstDivisor = 10
)

// retryBudget returns this entry's part of the budget that all entries share. Its own
// requests fill it; shareRetries sets how much it may save up. random is as
// call.BudgetConfig.Rand.
func retryBudget(b platform.Bounds, random func() float64) *call.Budget {
	budget := call.NewBudget(call.BudgetConfig{Rand: random})
	budget.SetRetryShare(b.RetryShare * retryShareMargin)
	return budget
}

// retryView is what an entry knows of the requests that share a retry budget.
type retryView struct {
	trafficShare float64       // its share of all requests that it knows of
	contact      float64       // share of all known entries that it is in contact with, itself included
	rate         float64       // own requests to the service per second
	age          time.Duration // since this entry first served the service
}

// retryBurst returns how many retries and hedges an entry may save up in each bucket. It
// keeps all entries together within the slack, although none knows what the others spend.
// An entry knows only the requests at entries that it is in contact with, so it takes
// no more than their part of the slack. The slack is not divided by the number of entries:
// part of it would go to entries without callers, and an entry that has just started knows
// few others and would take too much.
func retryBurst(b platform.Bounds, v retryView) float64 {
	slack := float64(b.RetrySlack) * min(v.trafficShare, maxBurstShare) * v.contact / burstDivisor
	ownTime := b.RetryWindow / ownBurstDivisor
	own := b.RetryShare * retryShareMargin / retryBuckets * v.rate * ownTime.Seconds()
	if v.age < ownTime {
		own = float64(b.RetrySlack) // all that can have been saved up is of that time
	}
	return max(slack, own)
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
	v := retryView{trafficShare: c.trafficShare(), contact: c.contactShare(), age: now.Sub(c.started)}
	for _, s := range c.services {
		s.shareRetries(now, b, v, aged)
	}
	for _, s := range c.removedServices {
		s.shareRetries(now, b, v, aged)
	}
	c.logRetryShare(retryShare{trafficShare: v.trafficShare, contact: v.contact, ratio: b.RetryShare, burst: retryBurst(b, v)})
}

// shareRetries updates the budget of a service. v.rate is set to the service's own rate.
func (s *service) shareRetries(now time.Time, b platform.Bounds, v retryView, aged bool) {
	if aged {
		s.budget.StartPeriod()
	}
	s.firstDispatches.tick(now)
	v.rate, v.age = s.firstDispatches.mean, now.Sub(s.created)
	burst := retryBurst(b, v)
	s.budget.SetRetryShare(b.RetryShare * retryShareMargin)
	s.budget.SetBurst(burst)
	s.instruments.burst.Update(burst)
}

// retryShare is this entry's part of the budget that all entries share.
type retryShare struct {
	trafficShare float64 // share of all requests that this entry gets
	contact      float64 // share of all entries that it is in contact with
	ratio        float64 // retries and hedges per request
	burst        float64 // retries and hedges of the slack that may be saved up in each bucket
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
	c.gateway.log.WithFields(log.Fields{
		"ratio": r.ratio, "burst": roundHundredths(r.burst), "before": roundHundredths(old.burst), "part": roundHundredths(r.trafficShare),
		"up": c.contact.Up, "known": c.contact.Known,
	}).Info("part of the retry budget changed")
}

func roundHundredths(f float64) float64 { return math.Round(100*f) / 100 }

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
