package slot

import "time"

// Config configures a Balancer. Zero fields take the defaults.
type Config struct {
	Place    string        // failure domain of this entry; its targets are preferred
	Ask      int           // probes per request; 0 takes the default, a negative value disables probes
	AskTime  time.Duration // longest wait for the answers to probes
	Usual    time.Duration // baseline service time before any is measured
	Knee     float64       // increase of the service time at a crowded target before any is measured
	Slow     float64       // targets are slow above this pace
	Hold     time.Duration // age at which a load report has lost half of its weight
	PauseMin time.Duration // first ejection of a failing target; doubles with each failed trial request
	PauseMax time.Duration
}

// Defaults. With two slots per target, these values serve most requests within the
// objective.
const (
	defaultAsk     = 4
	defaultAskTime = 20 * time.Millisecond
	defaultUsual   = 60 * time.Millisecond
	defaultKnee    = 1.7
	defaultSlow    = 1.6
	defaultHold    = 75 * time.Millisecond
	defaultPause   = 500 * time.Millisecond
	defaultLongest = 4 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Ask == 0 {
		c.Ask = defaultAsk
	}
	if c.AskTime <= 0 {
		c.AskTime = defaultAskTime
	}
	if c.Usual <= 0 {
		c.Usual = defaultUsual
	}
	if c.Knee <= 0 {
		c.Knee = defaultKnee
	}
	if c.Slow <= 0 {
		c.Slow = defaultSlow
	}
	if c.Hold <= 0 {
		c.Hold = defaultHold
	}
	if c.PauseMin <= 0 {
		c.PauseMin = defaultPause
	}
	if c.PauseMax <= 0 {
		c.PauseMax = defaultLongest
	}
	return c
}
