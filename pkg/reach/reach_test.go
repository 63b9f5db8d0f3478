package reach

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against callers that follow each turn of a link that goes up and down, and against an
// entry that stays out for long after a single loss.
func TestService(t *testing.T) {
	type check struct {
		at      int // tenths of a second
		reached bool
	}
	tests := []struct {
		name       string
		checks     []check
		at         int
		lost       bool
		advertised bool
	}{
		{"never lost", []check{{0, true}}, 1, false, false},
		{"lost", []check{{0, false}}, 1, true, true},
		{"just back", []check{{0, false}, {50, true}}, 55, false, true},
		{"back for a while", []check{{0, false}, {50, true}}, 61, false, false},
		{"lost again soon, just back", []check{{0, false}, {5, true}, {10, false}, {15, true}}, 30, false, true},
		{"lost again soon, back for a while", []check{{0, false}, {5, true}, {10, false}, {15, true}}, 36, false, false},
		{"lost again late, back", []check{{0, false}, {5, true}, {100, false}, {105, true}}, 116, false, false},
		{"lost again and again", []check{{0, false}, {1, true}, {2, false}, {3, true}, {4, false}, {5, true}, {6, false}, {7, true}, {8, false}, {9, true}}, 88, false, true},
		{"lost again and again, back for long", []check{{0, false}, {1, true}, {2, false}, {3, true}, {4, false}, {5, true}, {6, false}, {7, true}, {8, false}, {9, true}}, 90, false, false},
	}
	start := time.Unix(1000, 0)
	at := func(tenths int) time.Time { return start.Add(time.Duration(tenths) * 100 * time.Millisecond) }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := New(Config{})
			for _, k := range tt.checks {
				s.Update(at(k.at), k.reached)
			}
			c.Assert(s.Lost(), qt.Equals, tt.lost)
			c.Assert(s.Advertised(at(tt.at)), qt.Equals, tt.advertised)
		})
	}
}
