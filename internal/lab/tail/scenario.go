package tail

import "time"

// policyOmniscient selects the omniscient queue, which is not a policy of pkg/pool.
const omniscient = "omniscient"

type faultKind uint8

const (
	slow      faultKind = iota // multiplies the service time by factor
	stall                      // processes nothing until the end, then continues
	crash                      // loses its requests and refuses connections until the end, then starts cold
	failFast                   // answers each request with an error at once
	drainWord                  // reports on each response that it is leaving, but accepts new requests
	drainShed                  // sheds new requests without reporting that it is leaving
	drainList                  // accepts new requests; only the VM list shows, late, that it is leaving
	restart                    // becomes a new incarnation that is cold
)

// fault is a fault of one worker for some time.
type fault struct {
	kind   faultKind
	worker int
	from   time.Duration
	to     time.Duration
	factor float64 // for faultSlow
}

// scenario describes one run.
type scenario struct {
	shape    Shape
	policy   string
	owners   int     // preferred entries that the callers use; 0: all entries
	even     bool    // callers spread evenly over the owners; otherwise all use the first
	stray    float64 // share of requests that go to a random entry
	load     float64 // share of the capacity of all workers without faults
	swing    float64 // divides the load in the first half of each swingPeriod; up to 1: constant load
	period   time.Duration
	requests int
	seed     uint64
	faults   []fault
	listLag  time.Duration // until the VM list shows that a worker is leaving
	deadline time.Duration // of a request, from its arrival at the entry
	budget   float64       // share of the time of all slots that probes may take; 0: no probes
	every    time.Duration // between probes from each entry to each target; 0: no such probes
	mislead  bool          // load reports always show an idle target
	deaf     bool          // responses carry no load report
	retries  bool
	writes   float64 // share of non-idempotent requests
	tweak    tweak
}

// expectedSeconds returns the expected length of the arrivals.
func (s scenario) seconds() float64 {
	rate := s.load * s.shape.capacity()
	if s.swing > 1 {
		rate *= (1 + 1/s.swing) / 2
	}
	return float64(s.requests) / rate
}
