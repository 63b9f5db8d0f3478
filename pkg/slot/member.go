package slot

import (
	"time"

	"plumpitch.example/plumpitch/pkg/quota"
)

// dispatch is a request at a target.
type flight struct {
	member *member
	sent   time.Time
	beside int     // requests at the target when this one was sent
	pace   float64 // estimated pace when it was sent
	class  string
	usual  time.Duration // baseline of its class when it was sent
}

// member is a target with its state in this balancer.
type member struct {
	Target
	inFlight int // requests of this entry

	pace     float64 // from the last load report
	foreign  int     // requests of other entries, from the last load report
	told     time.Time
	loads    bool    // it has reported its load
	mute     bool    // it answers probes without its load
	slowness float64 // measured latency as a multiple of the expected latency
	judged   time.Time

	asking  bool      // a probe is in flight
	askedAt time.Time // when the last probe was sent
	askers  []*seeker // requests that wait for the answer

	fails  float64 // recent failures; each success reduces it
	out    bool    // it gets trial requests only
	rest   time.Time
	pause  time.Duration
	sheds  int
	closed time.Time
	moved  bool // another target has answered at its address

	left   time.Time // when it reported that it is leaving
	paused time.Time // end of the pause that it has asked this entry for
	limit  limit
	cold   time.Time // end of its warm-up
	ration quota.Ration
}

func newMember(t Target) *member {
	return &member{Target: t, pace: 1, slowness: 1, cold: t.Warm, ration: quota.NewRation(t.ID, quota.ColdSpan), limit: newLimit(t.ID)}
}

// estimatedPace returns the expected current pace: the last reported one, which approaches
// the mean of all targets as it ages. A target that has reported nothing gets the mean. A
// normal pace as its estimate would make it preferable to targets that were probed and
// reported about the normal pace.
func (m *member) estimate(now time.Time, meanPace float64, c *Config) float64 {
	if !m.loads {
		return meanPace
	}
	weight := aged(now.Sub(m.told), c.Hold)
	return m.pace*weight + meanPace*(1-weight)
}

// ageWeight returns the weight of a report of this age; at the age halfLife it is one half.
func aged(age, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+max(age, 0))
}

// otherInFlight returns the estimated number of requests of other entries at the target. The
// report expires after twice LoadHalfLife.
func (m *member) others(now time.Time, c *Config) int {
	if m.foreign == 0 || now.Sub(m.told) > 2*c.Hold {
		return 0
	}
	return m.foreign
}

func (m *member) busy(now time.Time, c *Config) int {
	return m.inFlight + m.others(now, c)
}

// currentLatencyRatio returns latencyRatio, which decays towards 1 with age: a target that
// gets no requests could never show that it has recovered.
func (m *member) slower(now time.Time) float64 {
	if m.slowness == 1 {
		return 1
	}
	const half = time.Second
	return 1 + (m.slowness-1)*aged(now.Sub(m.judged), half)
}

// expectedLatency returns the expected latency of a response to a request that is sent now.
func (m *member) expected(now time.Time, serviceTime time.Duration, pace, crowdedFactor float64, c *Config) time.Duration {
	d := float64(serviceTime) * pace * m.slower(now)
	if m.crowded(m.busy(now, c)) {
		d *= crowdedFactor
	}
	if m.isCold(now) {
		d *= coldFactor
	}
	return time.Duration(d)
}

// crowdedShare is the share of its slots above which the service time of a target increases.
const fullShare = 0.8

// crowded reports whether the service time increases beside this number of other requests.
func (m *member) crowded(concurrent int) bool {
	return concurrent > 0 && float64(concurrent+1) > fullShare*float64(m.Slots)
}

// coldFactor multiplies the service time of a target that has just started.
const coldFactor = 2

// recordLoad applies the load that the target has reported.
func (m *member) tell(now time.Time, l Load) {
	m.loads = true
	m.pace = l.Pace
	m.foreign = max(l.Running+l.Waiting-m.inFlight, 0)
	m.told = now
}

// updateRecord replaces the target's record. That its address is reused, as a response has
// shown, holds until the record changes. A target that is leaving doesn't return without a
// restart: a record that says otherwise is an older one.
func (m *member) record(t Target) {
	t.Leaving = t.Leaving || m.Leaving
	if !Same(m.Target, t) {
		m.moved = false
	}
	if t.Warm.After(m.Warm) {
		m.cold = later(m.cold, t.Warm)
	}
	m.Target = t
}

// excluded reports whether the target may get no new requests. What it has reported in a
// response takes precedence over its record: the store may be unavailable, or the record
// older.
func (m *member) leaves() bool {
	return m.Leaving || !m.left.IsZero() || m.Evacuated || m.moved
}

// acceptsRequests reports whether the target may get a request now, apart from its load.
func (m *member) open(now time.Time) bool {
	if m.leaves() || now.Before(m.closed) {
		return false
	}
	if m.out {
		return !now.Before(m.rest) && m.inFlight == 0
	}
	return true
}

// The failure score adds up failures with these weights. A target is ejected at ejectScore:
// after two failures or four refusals in a row. A target that fails half of its requests
// reaches that score within a few of them.
const (
	failWeight  = 1.0
	shedWeight  = 0.5
	failsOut    = 2.0
	servedKeeps = 0.5 // factor of the score after a success
	shedPause   = 20 * time.Millisecond
	shedShift   = 4 // most doublings of shedCooldown
)

func (m *member) blame(now time.Time, weight float64, c *Config) {
	m.fails += weight
	if m.out {
		m.pause = min(2*m.pause, c.PauseMax)
		m.rest = now.Add(m.pause)
	}
}

func (m *member) praise() {
	m.fails *= servedKeeps
	m.sheds = 0
	m.out = false
}

func (m *member) eject(now time.Time, c *Config) {
	m.out = true
	m.pause = c.PauseMin
	m.rest = now.Add(m.pause)
}

// recordLatency compares the latency of a response with the expected one.
func (m *member) measure(now time.Time, latency, expected time.Duration) {
	const weight = 0.3
	ratio := min(max(float64(latency)/float64(max(expected, time.Millisecond)), 0.3), 10)
	m.slowness = max(m.slower(now)*(1-weight)+ratio*weight, 0.7)
	m.judged = now
}
