package slot

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The targets of a service refuse requests. If they have room, that is a fault, and the
// caller should retry at once. If they are full or other requests wait, room comes free only
// when a request completes, and the retry should follow later.
func TestRetryAfter(t *testing.T) {
	tests := []struct {
		name      string
		perTarget int // requests at each of the four targets with two slots
		waiting   int
		immediate bool
	}{
		{"idle targets", 0, 0, true},
		{"one more would crowd them", 1, 0, false},
		{"full targets", 2, 0, false},
		{"full targets, others wait", 2, 3, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(4)
			for i := range 4 {
				h.replyLoad(fmt.Sprintf("t%d", i), 1, tt.perTarget)
			}
			for range tt.waiting {
				h.arrive()
			}
			qt.Assert(t, h.RetryAfter(h.now) < 10*time.Millisecond, qt.Equals, tt.immediate, qt.Commentf("%v", h.RetryAfter(h.now)))
		})
	}
}
