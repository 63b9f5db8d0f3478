package slot

import "time"

// probeLimit is the token bucket of a balancer's probes. The zero value doesn't limit them.
type probeLimit struct {
	rate, burst, tokens float64
	at                  time.Time // when tokens was determined
}

// SetProbeLimit bounds the probes of this balancer to a rate per second and a burst. A rate
// of 0 means no bound. A request that needs a probe beyond the bound is decided by the
// estimates at hand.
func (b *Balancer) SetProbeLimit(now time.Time, perSecond, burst float64) {
	b.probeLimit.set(now, perSecond, burst)
}

func (l *probeLimit) set(now time.Time, rate, burst float64) {
	tokens := max(burst, 1)
	if l.rate > 0 {
		l.refill(now)
		tokens = min(l.tokens, tokens)
	}
	*l = probeLimit{rate: rate, burst: max(burst, 1), tokens: tokens, at: now}
}

func (l *probeLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.tokens = min(l.tokens+l.rate*elapsed.Seconds(), l.burst)
		l.at = now
	}
}

// repeatReserve is the share of the burst that repeated probes of queued requests leave to
// the first probes of others.
const repeatReserve = 0.5

// take takes a token for a probe and reports whether there was one. A repeated probe is one
// for a request that was probed for before.
func (l *probeLimit) take(now time.Time, repeated bool) bool {
	if l.rate <= 0 {
		return true
	}
	l.refill(now)
	reserve := 0.0
	if repeated {
		reserve = repeatReserve * l.burst
	}
	if l.tokens < reserve+1 && (!repeated || l.tokens < l.burst) || l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
