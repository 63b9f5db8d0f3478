package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a configuration with one invalid limit that lets no request through.
func TestUnknownLimits(t *testing.T) {
	earlier := Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, IdleTimeout: time.Second}
	tests := []struct {
		name                  string
		limits, earlier, want Limits
	}{
		{"all known", Limits{3, 4, 0, time.Minute}, earlier, Limits{3, 4, 0, time.Minute}},
		{"sizes unknown", Limits{IdleTimeout: time.Minute}, earlier, Limits{1, 2, 0, time.Minute}},
		{"never known", Limits{}, Limits{}, Limits{MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, tt.limits.Or(tt.earlier), qt.Equals, tt.want)
		})
	}
}
