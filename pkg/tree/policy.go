package tree

import "time"

// Policy holds all settings in effect at one node. The table Fields documents each
// setting under its name in lower case, unless another name is given here.
type Policy struct {
	Timeout         time.Duration
	Idempotent      []string // HTTP methods
	RequireKey      bool
	Entries         int
	Slots           int
	Queue           int
	MaxWait         time.Duration
	Policy          string
	RetryShare      float64 // of first dispatches
	MaxDispatches   int     // setting attempts
	Hedge           bool
	HedgeAfter      time.Duration
	ProbeShare      float64 // of the targets' time
	ProbeCost       time.Duration
	ProbePath       string
	ProbeAfter      time.Duration
	MaxEjectedShare float64 // setting ejectshare; of the targets
	TrialMin        time.Duration
	TrialMax        time.Duration
	WarmupRequests  int // setting warmup; responses
	LeaveHold       time.Duration
	DrainHold       time.Duration
	MaxBody         int64 // bytes
	LocateTTL       time.Duration
	RetryAfter      time.Duration
	Places          []string // names; empty for all places
	Public          bool
	Accounts        bool
	Keys            []string // digests
	Priority        int
	Rate            float64 // requests per second
	Burst           float64 // requests
}

// Load balancing policies. The names are those of package pool.
const (
	FreeSlot      = "freeslot"
	LeastInFlight = "leastinflight"
	TwoChoices    = "twochoices"
	RoundRobin    = "roundrobin"
	Random        = "random"
)
