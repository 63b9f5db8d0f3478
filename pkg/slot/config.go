package slot

import "time"

// Config of a Book. Zero fields take the defaults.
type Config struct {
	Place    string        // failure domain of this entry: ties go to targets there
	Ask      int           // targets that one request asks; 0 takes the default, less than 0 none
	AskTime  time.Duration // longest wait for their answers
	Usual    time.Duration // time of work before any is measured
	Knee     float64       // how much longer work takes at a target that is nearly full, before any is measured
	Slow     float64       // pace from which a target counts as slow
	Hold     time.Duration // an old report is half forgotten after it
	PauseMin time.Duration // a failing target rests at least so long
	PauseMax time.Duration
}

// Defaults. The figures are those at which the model and the deployments with
// two slots a target served most within the objective.
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
