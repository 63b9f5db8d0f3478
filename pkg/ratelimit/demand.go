package ratelimit

import (
	"math"
	"time"
)

const (
	// reserveTime is the time of whose rate late requests leave the tokens in the bucket. They
	// are for requests on time of other entries, whose asks come some milliseconds apart.
	reserveTime = 100 * time.Millisecond
	// reserveDivisor bounds the reserve to a part of the capacity.
	reserveDivisor = 4
	// minDemandSpan is the least time constant of an account's demand on time, and demandTokens the
	// number of tokens in whose time demand is averaged at least: with fewer, one request of an
	// account with a small limit would count as an excess.
	minDemandSpan = time.Second
	demandTokens  = 8
	// minLateDivisor sets the part of the rate that late requests are expected to get at least,
	// so that their times to return stay finite.
	minLateDivisor = 16
)

// demand is a moving average of the requests on time of an account.
type demand struct {
	recent float64 // requests, each weighted by its age over the time constant
	at     time.Time
}

// demandSpan returns the time constant for a limit.
func demandSpan(l Limit) time.Duration {
	return max(minDemandSpan, time.Duration(min(demandTokens/l.Rate, maxPaceTime.Seconds())*float64(time.Second)))
}

// record counts requests. The number is negative for tokens in advance that are given back.
func (d *demand) record(now time.Time, requests int, span time.Duration) {
	if now.After(d.at) {
		d.recent *= math.Exp(-now.Sub(d.at).Seconds() / span.Seconds())
		d.at = now
	}
	d.recent = max(d.recent+float64(requests), 0)
}

// rate returns the requests per second.
func (d *demand) rate(now time.Time, span time.Duration) float64 {
	decayed := *d
	decayed.record(now, 0, span)
	return decayed.recent / span.Seconds()
}

// present reports whether the number of recent requests isn't zero, rounded. The average itself
// decays without end.
func (d *demand) present(now time.Time, span time.Duration) bool {
	return d.rate(now, span)*span.Seconds() >= 0.5
}

// lateRate returns the part of a rate that requests on time leave.
func (d *demand) lateRate(now time.Time, rate float64, span time.Duration) float64 {
	return max(rate-d.rate(now, span), rate/minLateDivisor)
}

// reserve returns the tokens that late requests leave in a bucket. A full bucket always has one
// for them: an account far below its limit must not be refused. Without a window there is none.
func (t Tolerance) reserve(l Limit, capacity float64) float64 {
	if t.Window <= 0 {
		return 0
	}
	return max(min(l.Rate*reserveTime.Seconds(), capacity/reserveDivisor, capacity-1), 0)
}
