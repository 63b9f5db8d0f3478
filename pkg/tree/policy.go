package tree

import "time"

// Policy is all settings in effect at one node. The table Fields documents
// each of them under the lower-case name.
type Policy struct {
	Timeout     time.Duration
	Idempotent  []string // methods
	RequireKey  bool
	Retention   time.Duration
	Entries     int
	Slots       int
	Queue       int
	Policy      string
	RetryShare  float64 // of first tries
	Attempts    int
	Hedge       bool
	HedgeAfter  time.Duration
	Crashes     int
	ProbeShare  float64 // of the targets' time
	ProbeCost   time.Duration
	ProbePath   string
	ProbePeriod time.Duration
	EjectSlow   float64 // times the latency of the others
	EjectFails  int
	EjectTime   time.Duration
	EjectShare  float64 // of the targets
	SlowStart   time.Duration
	DrainHold   time.Duration
	MaxBody     int64 // bytes
	MaxHeader   int64 // bytes
	LocateTTL   time.Duration
	RetryAfter  time.Duration
	Places      []string // names; empty for every place
	Trace       string
}

// Policies of target choice.
const (
	LeastInFlight = "least"
	RoundRobin    = "round"
	RandomChoice  = "random"
	TwoChoices    = "two"
	Weighed       = "weighed"
	LateBinding   = "late"
)

// Trace exporters.
const (
	TraceOff    = "off"
	TraceStdout = "stdout"
)
