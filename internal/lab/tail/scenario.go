package tail

import "time"

// Names of the ways that are no policy of the pool.
const omniscient = "omniscient"

type faultKind uint8

const (
	slow      faultKind = iota // takes factor times as long
	stall                      // does nothing, then goes on
	crash                      // loses its requests, refuses connections until the end
	failFast                   // answers each request with an error at once
	drainWord                  // says on each answer that it leaves, takes new work all the same
	drainShed                  // refuses new work, says nothing
	drainList                  // says nothing; the list tells, late
	restart                    // a new incarnation, cold
)

// fault is what happens to one worker from one time to another.
type fault struct {
	kind   faultKind
	worker int
	from   time.Duration
	to     time.Duration
	factor float64
}

// scenario is one run.
type scenario struct {
	shape    Shape
	policy   string
	owners   int  // entries that the callers use; zero: all
	even     bool // callers use all owners alike, else the first
	stray    float64
	load     float64 // share of the capacity of the healthy workers
	swing    float64 // load is this many times lower in each other half period
	period   time.Duration
	requests int
	seed     uint64
	faults   []fault
	listLag  time.Duration
	deadline time.Duration
	budget   float64       // share of target time for probes; zero: none
	every    time.Duration // a probe of each target from each entry so often; zero: none
	mislead  bool          // load reports always say zero
	deaf     bool          // answers carry no load report
	retries  bool
	writes   float64 // share of requests that are not idempotent
	tweak    tweak
}

func (s scenario) seconds() float64 {
	mean := s.load * s.shape.capacity()
	if s.swing > 1 {
		mean *= (1 + 1/s.swing) / 2
	}
	return float64(s.requests) / mean
}
