package pool

import (
	"math"
	"time"
)

// run is one request at a target.
type run struct {
	id    uint64
	sent  time.Duration
	start time.Duration // when it got a slot, as far as this entry knows
	on    bool          // whether it is counted in a slot
	trial bool
}

// Member is a target with what this entry knows of it.
type Member struct {
	Target
	runs []run

	foreign   float64 // requests of other entries there, by the last report
	foreignAt time.Duration
	answered  time.Duration // last answer of any kind
	served    int
	room      float64 // limit learnt from refusals
	blocked   time.Duration
	sheds     int // in a row

	slow     float64 // evidence of being slower than the others
	slowAt   time.Duration
	fail     float64 // evidence of failing more than the others
	failRate float64
	out      bool
	trialAt  time.Duration
	pause    time.Duration
	trials   int           // trial requests in flight
	nextTry  int           // arrivals at the pool before the next trial
	unclear  bool          // whether it may be gone: a probe goes before a trial
	probing  time.Duration // until then the result of a probe may come

	left      bool
	leftUntil time.Duration
}

// InFlight returns the number of this entry's requests at the target.
func (m *Member) InFlight() int { return len(m.runs) }

// Foreign returns the estimated requests of other entries there. The report
// counts for less as it ages: keep is the time in which its weight halves.
func (m *Member) Foreign(now, keep time.Duration) float64 {
	if m.foreign == 0 {
		return 0
	}
	return m.foreign * math.Exp2(-float64(now-m.foreignAt)/float64(keep))
}

func (m *Member) add(id uint64, now time.Duration, trial bool) {
	m.runs = append(m.runs, run{id: id, sent: now, start: now, on: len(m.runs) < m.Slots, trial: trial})
	if trial {
		m.trials++
	}
}

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

// limit is how many requests the target may hold, before any allowance.
func (m *Member) limit(c *Config) int {
	if !m.warm(c) {
		return 1
	}
	return min(m.Slots, int(m.room))
}
