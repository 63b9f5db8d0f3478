package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// dispatch is a request at a target.
type dispatch struct {
	member      *member
	sent        time.Time
	concurrent  int     // requests at the target when this one was sent
	pace        float64 // estimated pace when it was sent
	class       string
	serviceTime time.Duration // baseline of its class when it was sent
}

// member is a target with its state in this balancer.
type member struct {
	Target
	inFlight int // requests of this entry

	pace           float64 // from the last load report
	reportedOther  int     // requests of other entries, from the last load report
	loadAt         time.Time
	loadKnown      bool    // it has reported its load
	omitsLoad      bool    // it answers probes without its load
	latencyRatio   float64 // measured latency as a multiple of the expected latency
	latencyRatioAt time.Time

	probing      bool              // a probe is in flight
	probedAt     time.Time         // when the last probe was sent
	probeWaiters []*pendingRequest // requests that wait for the response

	failureScore     float64 // recent failures; each success reduces it
	ejected          bool    // it gets trial requests only
	ejectedUntil     time.Time
	ejectionTime     time.Duration
	consecutiveSheds int
	cooldownUntil    time.Time
	addressReused    bool // another target has answered at its address

	leavingSince time.Time // when it reported that it is leaving
	pausedUntil  time.Time // end of the pause that it has asked this entry for
	limit        targetLimit
	coldUntil    time.Time // end of its warm-up
	coldLimiter  quota.Limiter
}

func newMember(t Target) *member {
	return &member{Target: t, pace: 1, latencyRatio: 1, coldUntil: t.WarmAt, coldLimiter: quota.NewLimiter(t.ID, quota.ColdSpan), limit: newTargetLimit(t.ID)}
}

// estimatedPace returns the expected current pace: the last reported one, which approaches
// the mean of all targets as it ages. A target that has reported nothing gets the mean. If it
// got the normal pace, it would be preferred to targets that were probed and reported a
// normal pace.
func (m *member) estimatedPace(now time.Time, meanPace float64, c *Config) float64 {
	if !m.loadKnown {
		return meanPace
	}
	weight := ageWeight(now.Sub(m.loadAt), c.LoadHalfLife)
	return m.pace*weight + meanPace*(1-weight)
}

// ageWeight returns the weight of a report of this age; at the age halfLife it is one half.
func ageWeight(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(age, 0))
}

// otherInFlight returns the estimated number of requests of other entries at the target. The
// report expires after twice LoadHalfLife.
func (m *member) otherInFlight(now time.Time, c *Config) int {
	if now.Sub(m.loadAt) > 2*c.LoadHalfLife {
		return c.staleOther
	}
	return m.reportedOther
}

func (m *member) totalInFlight(now time.Time, c *Config) int {
	return m.inFlight + m.otherInFlight(now, c)
}

// currentLatencyRatio returns latencyRatio, which decays towards 1 with age. Otherwise a
// target that gets no requests could never show that it has recovered.
func (m *member) currentLatencyRatio(now time.Time) float64 {
	if m.latencyRatio == 1 {
		return 1
	}
	const half = time.Second
	return 1 + (m.latencyRatio-1)*ageWeight(now.Sub(m.latencyRatioAt), half)
}

// expectedLatency returns the expected latency of a response to a request that is sent now.
func (m *member) expectedLatency(now time.Time, serviceTime time.Duration, pace, crowdedFactor float64, c *Config) time.Duration {
	d := float64(serviceTime) * pace * m.currentLatencyRatio(now)
	if m.crowded(m.totalInFlight(now, c)) {
		d *= crowdedFactor
	}
	if m.isCold(now) {
		d *= coldFactor
	}
	return time.Duration(d)
}

// crowdedShare is the share of its slots above which the service time of a target increases.
const crowdedShare = 0.8

// crowded reports whether the service time increases beside this number of other requests.
func (m *member) crowded(concurrent int) bool {
	return concurrent > 0 && float64(concurrent+1) > crowdedShare*float64(m.Slots)
}

// coldFactor multiplies the service time of a target that has just started.
const coldFactor = 2

// recordLoad applies the load that the target has reported.
func (m *member) recordLoad(now time.Time, l Load) {
	m.loadKnown = true
	m.pace = l.Pace
	m.reportedOther = max(l.total()-m.inFlight, 0)
	m.loadAt = now
}

// updateRecord replaces the target's record. A target whose address was found to be reused
// stays excluded until its record changes. A target that is leaving doesn't return without a
// restart: a record that says otherwise is an older one.
func (m *member) updateRecord(t Target) {
	t.Leaving = t.Leaving || m.Leaving
	if !Equivalent(m.Target, t) {
		m.addressReused = false
	}
	if t.WarmAt.After(m.WarmAt) {
		m.coldUntil = latest(m.coldUntil, t.WarmAt)
	}
	m.Target = t
}

// excluded reports whether the target may get no new requests. What it has reported in a
// response takes precedence over its record: the store may be unavailable, or the record
// out of date.
func (m *member) excluded() bool {
	return m.Leaving || !m.leavingSince.IsZero() || m.Evacuated || m.addressReused
}

// acceptsRequests reports whether the target may get a request now, apart from its load.
func (m *member) acceptsRequests(now time.Time) bool {
	if m.excluded() || now.Before(m.cooldownUntil) {
		return false
	}
	if m.ejected {
		return !now.Before(m.ejectedUntil) && m.inFlight == 0
	}
	return true
}

// The failure score adds up failures with these weights. A target is ejected at ejectScore:
// after two failures or four refusals in a row. A target that fails half of its requests
// reaches that score within a few of them.
const (
	failWeight       = 1.0
	shedWeight       = 0.5
	ejectScore       = 2.0
	successDecay     = 0.5 // factor of the score after a success
	shedCooldown     = 20 * time.Millisecond
	maxShedDoublings = 4 // most doublings of shedCooldown
)

func (m *member) recordFailure(now time.Time, weight float64, c *Config) {
	m.failureScore += weight
	if m.ejected {
		m.ejectionTime = min(2*m.ejectionTime, c.MaxEjection)
		m.ejectedUntil = now.Add(m.ejectionTime)
	}
}

func (m *member) recordSuccess() {
	m.failureScore *= successDecay
	m.consecutiveSheds = 0
	m.ejected = false
}

func (m *member) eject(now time.Time, c *Config) {
	m.ejected = true
	m.ejectionTime = c.MinEjection
	m.ejectedUntil = now.Add(m.ejectionTime)
}

// recordLatency compares the latency of a response with the expected one.
func (m *member) recordLatency(now time.Time, latency, expected time.Duration) {
	const weight = 0.3
	ratio := min(max(float64(latency)/float64(max(expected, time.Millisecond)), 0.3), 10)
	m.latencyRatio = max(m.currentLatencyRatio(now)*(1-weight)+ratio*weight, 0.7)
	m.latencyRatioAt = now
}
