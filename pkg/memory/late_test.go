package memory

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against bodies that wait for room and are refused though they could be complete in time.
func TestOnlySureBodiesAreLate(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name   string
		length int64
		left   time.Duration // until the deadline
		want   bool
	}{
		{"in time", 2 << 20, 6 * time.Second, false},
		{"too long", 64 << 20, 6 * time.Second, true},
		{"too late", 2 << 20, 100 * time.Millisecond, true},
		{"unknown length", -1, time.Second, false},
		{"unknown length, too late", -1, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := allocation{ // 64 KiB in 50 ms
				Body: Body{Length: tt.length, Max: 64 << 20, Deadline: now.Add(tt.left)},
				held: 64 << 10, received: 64 << 10, readTime: 50 * time.Millisecond, asked: 64 << 10, waiting: true,
			}
			qt.Assert(t, c.late(now), qt.Equals, tt.want)
		})
	}
}
