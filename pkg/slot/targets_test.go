package slot

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A target crashes with all its slots taken and starts again under its old id.
// The entry still waits for what it sent to the old one, whose connections have
// gone silent, and has counted its failures. The new one gets requests at once.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	tests := []struct {
		name string
		born int64
		want bool // it gets requests at once
	}{
		{"the same", 1, false},
		{"a new one", 2, true},
		{"a new one by a clock that was set back", -5, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDesk(0)
			d.Targets(d.now, []Target{{ID: "t0", Slots: 2, Born: 1}, {ID: "t1", Slots: 2, Born: 1}}, nil)
			var stuck []uint64
			for range 2 {
				id, out := d.arrive()
				out = append(out, d.says("t1", 5, 2)...)
				out = append(out, d.says("t0", 1, 0)...)
				c.Assert(pick(out, Send)[0].Target.ID, qt.Equals, "t0")
				stuck = append(stuck, id)
				d.now = d.now.Add(20 * time.Millisecond)
			}
			d.Targets(d.now, []Target{{ID: "t0", Slots: 2, Born: tt.born}, {ID: "t1", Slots: 2, Born: 1}}, nil)
			_, out := d.arrive()
			asked := slices.ContainsFunc(pick(out, Ask), func(a Action) bool { return a.Target.ID == "t0" })
			c.Assert(asked, qt.Equals, tt.want)
			out = append(out, d.says("t0", 1, 0)...)
			c.Assert(len(pick(out, Send)) == 1, qt.Equals, tt.want)
			for _, id := range stuck {
				d.Done(d.now, End{ID: id, Kind: Lost}, nil)
			}
			if tt.want {
				c.Assert(d.members["t0"].inFlight, qt.Equals, 1)
				c.Assert(d.members["t0"].fails, qt.Equals, 0.0)
			}
		})
	}
}
