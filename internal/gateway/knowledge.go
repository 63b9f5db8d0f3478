package gateway

import (
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// configRead holds the configurations that the store returned, oldest first.
type configRead struct {
	configs  [][]byte
	revision roster.Revision
	askedAt  time.Time
}

func (m configRead) apply(now time.Time, c *control) {
	for _, raw := range m.configs {
		c.applyConfig(now, raw, "store")
	}
	c.configRevision = max(c.configRevision, m.revision)
	c.confirm(now, resourceConfig, m.askedAt)
	c.announceConfirmation(now, resourceConfig)
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (c *control) applyConfig(now time.Time, raw []byte, source string) {
	cfg, fieldErrs, err := platform.ParseConfig(raw)
	if err != nil {
		c.gateway.log.WithError(err).WithField("source", source).Error("invalid configuration ignored")
		return
	}
	if cfg.Version <= c.config.Version {
		return
	}
	c.gateway.log.WithFields(log.Fields{
		"version": uint64(cfg.Version), "before": uint64(c.config.Version), "source": source, "routes": len(cfg.Routes),
	}).Info("configuration in force")
	c.logFieldErrors(cfg.Version, fieldErrs)
	cfg.Limits = cfg.Limits.Or(c.config.Limits)
	c.config, c.configData = cfg, raw
	c.table = route.New(cfg, c.table)
	c.servicesStale, c.sendersChanged = true, true
	c.publish(now)
	c.announceRevisions(now)
}

// maxLoggedFieldErrors bounds the log lines about the invalid parts of one configuration.
const maxLoggedFieldErrors = 20

func (c *control) logFieldErrors(v route.Version, fieldErrs platform.FieldErrors) {
	for _, err := range fieldErrs[:min(len(fieldErrs), maxLoggedFieldErrors)] {
		c.gateway.log.WithError(err).WithField("version", uint64(v)).Warn("invalid part of the configuration")
	}
	if more := len(fieldErrs) - maxLoggedFieldErrors; more > 0 {
		c.gateway.log.WithFields(log.Fields{"version": uint64(v), "more": more}).Warn("more invalid parts of the configuration")
	}
}

// targetsListed is a full list of targets from the store.
type targetsListed struct {
	items    []roster.Item[slot.Target]
	revision roster.Revision
	askedAt  time.Time
}

func (m targetsListed) apply(now time.Time, c *control) {
	c.applyTargetsRead(now, m.askedAt, func() bool { return c.targets.Replace(m.items, m.revision) })
}

// targetsChanged holds changes of targets from a watch of the store.
type targetsChanged struct {
	changes  []roster.Change[slot.Target]
	revision roster.Revision
	askedAt  time.Time
}

func (m targetsChanged) apply(now time.Time, c *control) {
	c.applyTargetsRead(now, m.askedAt, func() bool { return c.targets.Merge(m.changes, m.revision) })
}

// applyTargetsRead applies a list or changes from the store, and announces a change of
// targets to the other entries at once.
func (c *control) applyTargetsRead(now, askedAt time.Time, apply func() (changed bool)) {
	c.confirm(now, resourceTargets, askedAt)
	changed := c.changeTargets(now, apply)
	c.announceConfirmation(now, resourceTargets)
	if changed {
		c.announceRevisions(now)
	}
}

// watchTimedOut reports that a watch timed out. The reader then lists the objects, which
// takes up to 2 s if the store is silent: the outage may be over before both calls have
// failed, so that the first failure must count.
type watchTimedOut struct{}

func (watchTimedOut) apply(now time.Time, c *control) { c.noteStoreFailure(now) }

// readFinished is the result of a read from the store; err is nil if it succeeded.
type readFinished struct{ err error }

func (m readFinished) apply(now time.Time, c *control) {
	failed := m.err != nil
	if failed {
		c.noteStoreFailure(now)
	}
	if failed == c.storeUnavailable {
		return
	}
	c.storeUnavailable = failed
	c.reportCondition(now)
	if failed {
		c.gateway.log.WithError(m.err).Warn("store lost")
	} else {
		c.gateway.log.Info("store regained")
	}
}
