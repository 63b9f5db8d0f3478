package tail

import "time"

// policyOmniscient selects the omniscient queue, which is not a policy of pkg/pool.
const policyOmniscient = "omniscient"

type faultKind uint8

const (
	faultSlow          faultKind = iota // multiplies the service time by factor
	faultStall                          // processes nothing until the end, then continues
	faultCrash                          // loses its requests and refuses connections until the end, then starts cold
	faultFailFast                       // answers each request with an error at once
	faultDrainReported                  // reports on each response that it is leaving, but accepts new requests
	faultDrainShed                      // sheds new requests without reporting that it is leaving
	faultDrainListed                    // accepts new requests; only the VM list shows, late, that it is leaving
	faultRestart                        // becomes a new, cold incarnation at the start of the fault and again at its end
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
	shape         Shape
	policy        string
	owners        int     // preferred entries that the callers use; 0: all entries
	evenOwners    bool    // callers spread evenly over the owners; otherwise all use the first
	strayShare    float64 // share of requests that go to a random entry
	load          float64 // share of the capacity that all workers have while none has a fault
	swingFactor   float64 // divides the load in the first half of each swingPeriod; the load is constant if it is 1 or less
	swingPeriod   time.Duration
	requests      int
	seed          uint64
	faults        []fault
	listDelay     time.Duration // until the VM list shows that a worker is leaving
	deadline      time.Duration // of a request, from its arrival at the entry
	probeShare    float64       // share of the time of all slots that probes may take; 0: no probes
	probeInterval time.Duration // between probes from each entry to each target; 0: no such probes
	zeroReports   bool          // load reports always show an idle target
	noReports     bool          // responses carry no load report
	retries       bool
	writeShare    float64 // share of non-idempotent requests
	poolOverride  poolOverride
}

// expectedSeconds returns the expected time until the last arrival, in seconds.
func (s scenario) expectedSeconds() float64 {
	rate := s.load * s.shape.capacity()
	if s.swingFactor > 1 {
		rate *= (1 + 1/s.swingFactor) / 2
	}
	return float64(s.requests) / rate
}
