package slot

import "time"

// Config configures a Balancer. Zero fields take the defaults.
type Config struct {
	Place                string        // failure domain of this entry; its targets are preferred
	Probes               int           // probes per request; 0 takes the default, a negative value disables probes
	ProbeTimeout         time.Duration // longest wait for the responses to probes
	InitialServiceTime   time.Duration // baseline service time before any is measured
	InitialCrowdedFactor float64       // factor of the service time at a crowded target before any is measured
	SlowPace             float64       // targets are slow above this pace
	LoadHalfLife         time.Duration // age at which a load report has lost half of its weight
	MinEjection          time.Duration // length of the first ejection of a failing target; doubles with each failed trial request
	MaxEjection          time.Duration

	staleOther int // requests of other entries at a target without a recent report
}

// Defaults. With two slots per target, these values serve the largest share of requests
// within the objective.
const (
	defaultProbes        = 4
	defaultProbeTimeout  = 20 * time.Millisecond
	defaultServiceTime   = 60 * time.Millisecond
	defaultCrowdedFactor = 1.7
	defaultSlowPace      = 1.6
	defaultLoadHalfLife  = 75 * time.Millisecond
	defaultMinEjection   = 500 * time.Millisecond
	defaultMaxEjection   = 4 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Probes == 0 {
		c.Probes = defaultProbes
	}
	if c.ProbeTimeout <= 0 {
		c.ProbeTimeout = defaultProbeTimeout
	}
	if c.InitialServiceTime <= 0 {
		c.InitialServiceTime = defaultServiceTime
	}
	if c.InitialCrowdedFactor <= 0 {
		c.InitialCrowdedFactor = defaultCrowdedFactor
	}
	if c.SlowPace <= 0 {
		c.SlowPace = defaultSlowPace
	}
	if c.LoadHalfLife <= 0 {
		c.LoadHalfLife = defaultLoadHalfLife
	}
	if c.MinEjection <= 0 {
		c.MinEjection = defaultMinEjection
	}
	if c.MaxEjection <= 0 {
		c.MaxEjection = defaultMaxEjection
	}
	return c
}
