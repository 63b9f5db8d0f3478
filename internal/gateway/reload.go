package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/platform"
)

// settingsReloaded makes the control loop apply changed settings to all services.
type settingsReloaded struct{}

func (settingsReloaded) apply(_ time.Time, c *control) { c.servicesStale = true }

// Reload applies changed settings. Only the bounds change while the process runs;
// addresses and names keep their values from the start.
func (g *Gateway) Reload(s platform.Settings, err error) {
	if err != nil {
		g.log.WithError(err).Error("settings refused, those in force stay")
		return
	}
	g.bounds.Store(&s.Bounds)
	go g.control.enqueue(context.Background(), settingsReloaded{})
	g.log.WithFields(log.Fields{
		"drain": s.Bounds.Drain.String(), "grace": s.Bounds.Grace.String(), "ratio": s.Bounds.RetryShare, "slack": s.Bounds.RetrySlack,
	}).Info("settings reloaded")
}
