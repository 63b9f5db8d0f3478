package pool

import (
	"math"
	"time"
)

// dispatch is one request at a target.
type dispatch struct {
	id     uint64
	sent   time.Duration
	start  time.Duration // when it got a slot, by the estimate of this entry
	inSlot bool          // it counts as being in a slot
	trial  bool
}

// Member is a target with the state that this entry keeps for it.
type Member struct {
	Target
	dispatches []dispatch

	reportedOther    float64 // requests of other entries there, from the last load report
	loadAt           time.Duration
	lastResponse     time.Duration // last completion or probe result
	served           int           // served requests
	learnedLimit     float64       // concurrency limit learned from sheds
	cooldownUntil    time.Duration // no new requests until then, after a shed
	consecutiveSheds int

	slowEvidence     float64 // evidence that the target is slower than the others
	slowUpdatedAt    time.Duration
	failEvidence     float64 // evidence that the target fails more than the others
	failureRate      float64
	ejected          bool
	nextTrial        time.Duration
	trialPause       time.Duration
	trialsInFlight   int
	nextTrialArrival int           // no trial before this number of arrivals at the pool
	maybeGone        bool          // its last outcome or probe suggests that it is gone; a probe then precedes a trial
	probingUntil     time.Duration // a probe is pending until then at the latest

	excluded      bool // leaving or evacuated: no new requests
	excludedUntil time.Duration
}

// InFlight returns the number of this entry's requests at the target.
func (m *Member) InFlight() int { return len(m.dispatches) }

// OtherInFlight returns the estimated number of requests of other entries there. The
// weight of the load report halves with each halfLife.
func (m *Member) OtherInFlight(now, halfLife time.Duration) float64 {
	if m.reportedOther == 0 {
		return 0
	}
	return m.reportedOther * math.Exp2(-float64(now-m.loadAt)/float64(halfLife))
}

func (m *Member) addDispatch(id uint64, now time.Duration, trial bool) {
	m.dispatches = append(m.dispatches, dispatch{id: id, sent: now, start: now, inSlot: len(m.dispatches) < m.Slots, trial: trial})
	if trial {
		m.trialsInFlight++
	}
}

// removeDispatch removes a request. The slot it frees goes to the next request there.
func (m *Member) removeDispatch(id uint64, now time.Duration) (d dispatch) {
	for i := range m.dispatches {
		if m.dispatches[i].id == id {
			d = m.dispatches[i]
			m.dispatches = append(m.dispatches[:i], m.dispatches[i+1:]...)
			break
		}
	}
	if d.trial {
		m.trialsInFlight--
	}
	for i := range m.dispatches[:min(len(m.dispatches), m.Slots)] {
		if !m.dispatches[i].inSlot {
			m.dispatches[i].inSlot, m.dispatches[i].start = true, now
		}
	}
	return d
}

func (m *Member) warmedUp(c *Config) bool { return m.served >= c.WarmupRequests }

// limit returns the number of requests that the target may hold, without the allowance.
func (m *Member) limit(c *Config) int {
	if !m.warmedUp(c) {
		return 1
	}
	return min(m.Slots, int(m.learnedLimit))
}
