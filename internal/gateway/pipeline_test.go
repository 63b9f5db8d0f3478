package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/route"
)

// Guards against connections that stay open without requests for ever, because the
// configuration sets no idle timeout or is not known yet, and use up the descriptors of a
// small VM.
func TestIdleTimeoutIsBounded(t *testing.T) {
	tests := []struct {
		name string
		view *view
		want time.Duration
	}{
		{"no configuration", &view{}, callerTimeout},
		{"no limit", &view{table: &route.Table{}}, callerTimeout},
		{"shorter limit", &view{table: &route.Table{Config: route.Config{Limits: route.Limits{IdleTimeout: time.Second}}}}, time.Second},
		{"longer limit", &view{table: &route.Table{Config: route.Config{Limits: route.Limits{IdleTimeout: time.Hour}}}}, callerTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &Gateway{}
			g.view.Store(tt.view)
			qt.Assert(t, g.idleTimeout(), qt.Equals, tt.want)
		})
	}
}
