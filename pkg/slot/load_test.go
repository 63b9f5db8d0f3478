package slot

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a sum that overflows, so that the most loaded target looks empty.
func TestLoadTotal(t *testing.T) {
	tests := []struct {
		load Load
		want int
	}{
		{Load{Running: 1, Waiting: 2}, 3},
		{Load{Running: math.MaxInt, Waiting: 1}, math.MaxInt},
		{Load{Running: 1, Waiting: math.MaxInt}, math.MaxInt},
		{Load{Running: math.MaxInt, Waiting: math.MaxInt}, math.MaxInt},
	}
	for _, tt := range tests {
		qt.Assert(t, tt.load.total(), qt.Equals, tt.want, qt.Commentf("%+v", tt.load))
	}
}
