package capacity

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Each part except memory runs with small sizes without an error and prints one
// section, which contains the name of a series of the part.
func TestParts(t *testing.T) {
	small := Config{
		Entries: []int{8, 10}, Loopback: []int{3, 5}, Seeds: 1, Exchanges: 20,
		QuietTime: time.Second, SettleTime: 10 * time.Millisecond, PartitionTime: 20 * time.Second,
	}
	tests := []struct {
		part string
		want string
	}{
		{"wire", "HTTP beside it, B each way"},
		{"settings", "answer with one edit, B"},
		{"quiet", "bytes in and out, B/s"},
		{"notice", "a place lost, s"},
		{"events", "all restarted: mean of 30 s, B/s"},
		{"apart", "agreement after the return, s"},
		{"store", "VM list, B a whole read"},
		{"loopback", "one stopped until all know, s"},
	}
	for _, tt := range tests {
		t.Run(tt.part, func(t *testing.T) {
			c := qt.New(t)
			cfg := small
			cfg.Part = tt.part
			var out bytes.Buffer
			c.Assert(Run(cfg, &out), qt.IsNil)
			c.Assert(out.String(), qt.Contains, tt.want)
			c.Assert(bytes.Count(out.Bytes(), []byte("## ")), qt.Equals, 1)
		})
	}
}

func TestUnknownPart(t *testing.T) {
	c := qt.New(t)
	err := Run(Config{Part: "wires"}, &bytes.Buffer{})
	c.Assert(err, qt.ErrorMatches, `capacity: part: found "wires", expected one of wire, .*`)
}

func TestFit(t *testing.T) {
	tests := []struct {
		name               string
		y                  []float64
		at0, slope, offMax float64
	}{
		{"a line", []float64{3, 5, 7, 9}, 1, 2, 1e-9},
		{"flat", []float64{4, 4, 4, 4}, 4, 0, 1e-9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := &series{}
			for i, y := range tt.y {
				s.add(i+1, y-1, y, y+1)
			}
			at0, slope, off := s.fit()
			c.Assert(at0-tt.at0 < 1e-9 && tt.at0-at0 < 1e-9, qt.IsTrue)
			c.Assert(slope-tt.slope < 1e-9 && tt.slope-slope < 1e-9, qt.IsTrue)
			c.Assert(off <= tt.offMax, qt.IsTrue)
		})
	}
}
