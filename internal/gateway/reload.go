package gateway

import (
	"github.com/apex/log"

	"plumpitch.example/plumpitch/platform"
)

// Reload takes settings that have changed. Addresses and names stay those of
// the start: only the bounds may move while the process runs.
func (g *Gateway) Reload(s platform.Settings, err error) {
	if err != nil {
		g.log.WithError(err).Error("settings refused, those in force stay")
		return
	}
	g.bounds.Store(&s.Bounds)
	g.log.WithFields(log.Fields{"drain": s.Bounds.Drain.String(), "grace": s.Bounds.Grace.String()}).Info("settings reloaded")
}
