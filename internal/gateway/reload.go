package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/platform"
)

// reloaded is told when settings have changed.
type reloaded struct{}

// apply has all services take their bounds anew.
func (reloaded) apply(_ time.Time, c *control) { c.dirty = true }

// Reload takes settings that have changed. Addresses and names stay those of
// the start: only the bounds may move while the process runs.
func (g *Gateway) Reload(s platform.Settings, err error) {
	if err != nil {
		g.log.WithError(err).Error("settings refused, those in force stay")
		return
	}
	g.bounds.Store(&s.Bounds)
	go g.control.tell(context.Background(), reloaded{})
	g.log.WithFields(log.Fields{
		"drain": s.Bounds.Drain.String(), "grace": s.Bounds.Grace.String(), "ratio": s.Bounds.RetryShare, "slack": s.Bounds.RetrySlack,
	}).Info("settings reloaded")
}
