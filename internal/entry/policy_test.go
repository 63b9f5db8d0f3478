package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
	"plumpitch.example/plumpitch/pkg/tree"
)

// The settings name policies by words of their own package. A word that the
// pool doesn't know would keep the whole settings from coming into force.
func TestEveryPolicyOfTheSettingsIsAPools(t *testing.T) {
	words := []string{tree.FreeSlot, tree.LeastInFlight, tree.TwoChoices, tree.RoundRobin, tree.Random}
	qt.Assert(t, words, qt.ContentEquals, pool.Names())
	for _, w := range words {
		_, err := newChooser(tree.Policy{Policy: w}, probe.New(probe.Config{}))
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", w))
	}
}
