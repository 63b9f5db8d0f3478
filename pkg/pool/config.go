package pool

import (
	"time"

	"plumpitch.example/plumpitch/pkg/probe"
)

// Config holds the limits of one service. Zero fields take the defaults.
type Config struct {
	Slots     int           // requests that a target runs at once, where it names none
	Allowance int           // requests beyond its slots that one target may hold; negative: none
	MaxQueue  int           // requests in the queue
	MaxWait   time.Duration // expected wait above which a request is refused
	Service   time.Duration // mean service time until enough answers are seen
	MaxOut    float64       // share of targets that may be ejected at once
	Hold      time.Duration // how long a leaving word outweighs a list that says live
	TrialMin  time.Duration // first pause before a trial
	TrialMax  time.Duration // longest pause before a trial
	Warmup    int           // answers until a new target counts as warm
	Silent    time.Duration // without an answer for so long a target is worth a probe

	Unlimited bool          // dispatch at once, without queue or limits: for baselines
	Blind     bool          // judge no target by its answers: for baselines
	Budget    *probe.Budget // nil: no probes
}

func orInt(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}

func orDuration(v, d time.Duration) time.Duration {
	if v == 0 {
		return d
	}
	return v
}

func (c Config) withDefaults() Config {
	c.Slots = orInt(c.Slots, 2)
	c.Allowance = orInt(c.Allowance, 2)
	c.MaxQueue = orInt(c.MaxQueue, 10000)
	c.MaxWait = orDuration(c.MaxWait, 100*time.Millisecond)
	c.Service = orDuration(c.Service, 5*time.Millisecond)
	c.Hold = orDuration(c.Hold, time.Minute)
	c.TrialMin = orDuration(c.TrialMin, 50*time.Millisecond)
	c.TrialMax = orDuration(c.TrialMax, time.Second)
	c.Warmup = orInt(c.Warmup, 8)
	c.Silent = orDuration(c.Silent, 2*time.Second)
	if c.MaxOut == 0 {
		c.MaxOut = 0.34
	}
	return c
}
