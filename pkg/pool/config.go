package pool

import (
	"time"

	"plumpitch.example/plumpitch/pkg/probe"
)

// Config configures the pool of one service. Zero fields take the defaults.
type Config struct {
	DefaultSlots       int           // concurrent requests per target that reports no number; default 2
	Allowance          int           // requests beyond its slots that a target may hold; default 2, negative: none
	MaxQueue           int           // limit of queued requests; default 10000
	MaxWait            time.Duration // expected wait above which a request is refused; default 100 ms
	InitialServiceTime time.Duration // mean service time assumed until enough responses are seen; default 5 ms
	MaxEjectedShare    float64       // share of targets that may be ejected at the same time; default 0.34
	LeavingHold        time.Duration // how long a leaving notice overrides a list that shows the target as live; default 1 min
	TrialMin           time.Duration // shortest pause before a trial request; default 50 ms
	TrialMax           time.Duration // longest pause before a trial request; default 1 s
	WarmupRequests     int           // served requests until a new target counts as warmed up; default 8
	ProbeAfter         time.Duration // time without a response after which a target is probed; default 2 s

	Unlimited      bool          // dispatch immediately, without queue or limits; for baselines
	IgnoreOutcomes bool          // keep no health state, eject no target; for baselines
	ProbeBudget    *probe.Budget // budget for probes; nil: no probes
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
	c.DefaultSlots = orInt(c.DefaultSlots, 2)
	c.Allowance = orInt(c.Allowance, 2)
	c.MaxQueue = orInt(c.MaxQueue, 10000)
	c.MaxWait = orDuration(c.MaxWait, 100*time.Millisecond)
	c.InitialServiceTime = orDuration(c.InitialServiceTime, 5*time.Millisecond)
	c.LeavingHold = orDuration(c.LeavingHold, time.Minute)
	c.TrialMin = orDuration(c.TrialMin, 50*time.Millisecond)
	c.TrialMax = orDuration(c.TrialMax, time.Second)
	c.WarmupRequests = orInt(c.WarmupRequests, 8)
	c.ProbeAfter = orDuration(c.ProbeAfter, 2*time.Second)
	if c.MaxEjectedShare == 0 {
		c.MaxEjectedShare = 0.34
	}
	return c
}
