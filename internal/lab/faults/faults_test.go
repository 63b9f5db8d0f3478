package faults

import (
	"bytes"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Callers send and resend keyed requests while two faults hold: entries die,
// stop or are cut off, messages are lost and doubled, the store fails, targets
// cut answers. No key runs twice, nobody gets another's answer or none at all,
// and whoever is told that nothing ran can rely on it. The seed is printed.
func TestPairs(t *testing.T) {
	var out bytes.Buffer
	err := Run(Config{Seed: 1, Seeds: 150}, &out)
	t.Log(out.String())
	qt.Assert(t, err, qt.IsNil)
}

func TestSeedRepeats(t *testing.T) {
	qt.Assert(t, one(3), qt.Equals, one(3))
}

// The experiment must exercise what it proves: a run in which nothing is
// replayed, refused or unknown would count nothing too.
func TestRunsAreNotIdle(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(Run(Config{Seed: 1, Seeds: 50, JSON: true}, &out), qt.IsNil)
	var got countsJSON
	c.Assert(json.Unmarshal(out.Bytes(), &got), qt.IsNil)
	for _, n := range []int{got.Runs, got.Fresh, got.Replayed, got.Unknown, got.NotRun, got.Conflicts, got.Writes} {
		c.Assert(n >= 20, qt.IsTrue, qt.Commentf("%+v", got))
	}
}

func TestReportFails(t *testing.T) {
	for _, tc := range []struct {
		name   string
		counts Counts
	}{
		{"doubled", Counts{Doubled: 1}},
		{"crossed", Counts{Crossed: 1}},
		{"lost", Counts{Lost: 1}},
		{"false not-run", Counts{False: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			err := report(Config{Seeds: 2}, &out, []outcome{{seed: 7}, {seed: 8, pair: [2]Fault{pause, join}, counts: tc.counts}})
			c.Assert(err, qt.ErrorMatches, "1 of 2 seeds went wrong, the first is 8")
			c.Assert(out.String(), qt.Contains, "seed 8: pause and join: ")
		})
	}
}
