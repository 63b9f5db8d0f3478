package pool

import (
	"math"
	"time"
)

// dispatch is one request at a target.
type run struct {
	id    uint64
	sent  time.Duration
	start time.Duration // when it got a slot, by the estimate of this entry
	on    bool          // it counts as being in a slot
	trial bool
}

// Member is a target with the state that this entry keeps for it.
type Member struct {
	Target
	runs []run

	foreign   float64 // requests of other entries there, from the last load report
	foreignAt time.Duration
	answered  time.Duration // last completion or probe result
	served    int           // served requests
	room      float64       // concurrency limit learned from sheds
	blocked   time.Duration // no new requests until then, after a shed
	sheds     int

	slow     float64 // evidence that the target is slower than the others
	slowAt   time.Duration
	fail     float64 // evidence that the target fails more than the others
	failRate float64
	out      bool
	trialAt  time.Duration
	pause    time.Duration
	trials   int
	nextTry  int           // no trial before this number of arrivals at the pool
	unclear  bool          // connections failed or requests timed out; a probe precedes a trial
	probing  time.Duration // a probe is pending until then at the latest

	left      bool // leaving or evacuated: no new requests
	leftUntil time.Duration
}

// InFlight returns the number of this entry's requests at the target.
func (m *Member) InFlight() int { return len(m.runs) }

// OtherInFlight returns the estimated number of requests of other entries there. The
// weight of the load report halves with each halfLife.
func (m *Member) Foreign(now, halfLife time.Duration) float64 {
	if m.foreign == 0 {
		return 0
	}
	return m.foreign * math.Exp2(-float64(now-m.foreignAt)/float64(halfLife))
}

func (m *Member) add(id uint64, now time.Duration, trial bool) {
	m.runs = append(m.runs, run{id: id, sent: now, start: now, on: len(m.runs) < m.Slots, trial: trial})
	if trial {
		m.trials++
	}
}

// removeDispatch removes a request. The slot it frees goes to the next request there.
func (m *Member) remove(id uint64, now time.Duration) (r run) {
	for i := range m.runs {
		if m.runs[i].id == id {
			r = m.runs[i]
			m.runs = append(m.runs[:i], m.runs[i+1:]...)
			break
		}
	}
	if r.trial {
		m.trials--
	}
	for i := range m.runs[:min(len(m.runs), m.Slots)] {
		if !m.runs[i].on {
			m.runs[i].on, m.runs[i].start = true, now
		}
	}
	return r
}

func (m *Member) warm(c *Config) bool { return m.served >= c.Warmup }

// limit returns the number of requests that the target may hold, without the allowance.
func (m *Member) limit(c *Config) int {
	if !m.warm(c) {
		return 1
	}
	return min(m.Slots, int(m.room))
}
