package gateway

import (
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// configRead is what the store has of the configuration, oldest first.
type configRead struct {
	raw   [][]byte
	at    roster.Revision
	asked time.Time
}

func (m configRead) apply(now time.Time, c *control) {
	for _, raw := range m.raw {
		c.adopt(now, raw, "store")
	}
	c.configAt = max(c.configAt, m.at)
	c.confirm(now, dutyConfig, m.asked)
	c.vouch(now, dutyConfig)
}

// adopt puts a configuration in force that is newer than the one that is.
func (c *control) adopt(now time.Time, raw []byte, source string) {
	cfg, faults, err := platform.ParseConfig(raw)
	if err != nil {
		c.gateway.log.WithError(err).WithField("source", source).Error("configuration refused")
		return
	}
	if cfg.Version <= c.config.Version {
		return
	}
	c.gateway.log.WithFields(log.Fields{
		"version": uint64(cfg.Version), "before": uint64(c.config.Version), "source": source, "routes": len(cfg.Routes),
	}).Info("configuration in force")
	c.logFaults(cfg.Version, faults)
	c.config, c.raw = cfg, raw
	c.table = route.New(cfg, c.table)
	c.dirty, c.unshared = true, true
	c.publish(now)
	c.spread(now)
}

// maxFaults bounds the lines about the faults of one configuration.
const maxFaults = 20

func (c *control) logFaults(v route.Version, faults platform.Faults) {
	for _, err := range faults[:min(len(faults), maxFaults)] {
		c.gateway.log.WithError(err).WithField("version", uint64(v)).Warn("part of the configuration not understood")
	}
	if more := len(faults) - maxFaults; more > 0 {
		c.gateway.log.WithFields(log.Fields{"version": uint64(v), "more": more}).Warn("further parts of the configuration not understood")
	}
}

// targetsListed is the whole list of targets.
type targetsListed struct {
	items []roster.Item[slot.Target]
	at    roster.Revision
	asked time.Time
}

func (m targetsListed) apply(now time.Time, c *control) {
	c.targetsRead(now, m.asked, func() bool { return c.targets.Replace(m.items, m.at) })
}

// targetsChanged are changes of targets since the last ones.
type targetsChanged struct {
	changes []roster.Change[slot.Target]
	at      roster.Revision
	asked   time.Time
}

func (m targetsChanged) apply(now time.Time, c *control) {
	c.targetsRead(now, m.asked, func() bool { return c.targets.Told(m.changes, m.at) })
}

// targetsRead applies what the store said of the targets, and tells the others
// at once where that matters.
func (c *control) targetsRead(now, asked time.Time, apply func() (moved bool)) {
	c.confirm(now, dutyTargets, asked)
	moved := c.change(now, apply)
	c.vouch(now, dutyTargets)
	if moved {
		c.spread(now)
	}
}

// callFailed tells of a call without an answer, after which the store is asked in
// another way. That takes up to 2 s where it is silent, and the outage may be over by
// the time that both have failed.
type callFailed struct{}

func (callFailed) apply(now time.Time, c *control) { c.fails(now) }

// storeAnswered tells whether the store serves this entry.
type storeAnswered struct{ err error }

func (m storeAnswered) apply(now time.Time, c *control) {
	shut := m.err != nil
	if shut {
		c.fails(now)
	}
	if shut == c.shut {
		return
	}
	c.shut = shut
	c.feel(now)
	if shut {
		c.gateway.log.WithError(m.err).Warn("store lost")
	} else {
		c.gateway.log.Info("store regained")
	}
}
