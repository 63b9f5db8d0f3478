package tail

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The same seed must print the same bytes, however the parallel runs are scheduled.
func TestSameSeedPrintsSameBytes(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var first, second bytes.Buffer
			cfg := Config{Name: name, Seeds: 2, Requests: 300}
			c.Assert(Run(cfg, &first), qt.IsNil)
			c.Assert(Run(cfg, &second), qt.IsNil)
			c.Assert(first.String(), qt.Equals, second.String())
		})
	}
}

func TestUnknownName(t *testing.T) {
	err := Run(Config{Name: "head"}, &bytes.Buffer{})
	qt.Assert(t, err, qt.ErrorMatches, `experiment head: name: found "head", expected one of .*`)
}
