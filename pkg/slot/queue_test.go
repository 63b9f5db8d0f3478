package slot

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The targets of a service refuse what they are sent. Where they have room, that
// is a fault of theirs, and the caller is best back at once; where they are full
// or others wait, it finds room about when work ends.
func TestWhenToComeBack(t *testing.T) {
	tests := []struct {
		name    string
		held    int // requests at each of the four targets of two slots
		waiting int
		soon    bool
	}{
		{"idle targets", 0, 0, true},
		{"one more would crowd them", 1, 0, false},
		{"full targets", 2, 0, false},
		{"full targets, others wait", 2, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(4)
			for i := range 4 {
				d.says(fmt.Sprintf("t%d", i), 1, tt.held)
			}
			for range tt.waiting {
				d.arrive()
			}
			qt.Assert(t, d.Back(d.now) < 10*time.Millisecond, qt.Equals, tt.soon, qt.Commentf("%v", d.Back(d.now)))
		})
	}
}
