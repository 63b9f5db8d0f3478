package faults

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// With the store down, one create a run stops every run, and leases lapse. A
// majority of three goes on.
func TestWeighStoreDown(t *testing.T) {
	for _, tc := range []struct {
		way     way
		refused string
	}{
		{&creating{}, "50.0"},
		{&owning{}, "34.1"},
		{&quorum{}, "0.0"},
	} {
		t.Run(tc.way.name(), func(t *testing.T) {
			figures := weigh(1, conditions[2], tc.way)
			qt.Assert(t, figures[len(figures)-1], qt.Equals, tc.refused)
		})
	}
}
