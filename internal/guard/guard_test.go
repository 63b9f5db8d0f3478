package guard

import (
	"testing"
	"time"

	"github.com/apex/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/memory"
)

const waitLimit = 10 * time.Second

func newTestGuard(bytes int64) *Guard {
	return New(Config{Memory: bytes, Scope: tally.NoopScope, Log: log.Log})
}

// Guards against a division of the memory in which the smallest VMs never take the largest body
// that the configuration allows.
func TestLargestBodyFitsSmallestVM(t *testing.T) {
	const (
		smallestVM  = 184e6
		largestBody = 64 << 20
		connections = 300
	)
	m := newTestGuard(smallestVM)
	for range connections {
		qt.Assert(t, m.At(admission.Traffic).Connect("127.0.0.1", callers.Actions{}), qt.IsNotNil)
	}
	h, err := m.Open(time.Now(), memory.Body{Length: largestBody, Deadline: time.Now().Add(waitLimit)}, func() {})
	qt.Assert(t, err, qt.IsNil)
	never := func(time.Time) bool { return true }
	for held := int64(0); held < largestBody; {
		n := min(memory.NextPart(held), largestBody-held)
		err := h.Extend(n, never)
		qt.Assert(t, err, qt.IsNil)
		held += n
	}
	qt.Assert(t, h.Complete(), qt.IsNil)
	h.Close()
}

// Guards against an entry that hangs, as it interrupts the read of a refused body while it holds the
// lock that the connection needs.
func TestInterruptHoldsNoLock(t *testing.T) {
	const size = 3 << 20
	m := newTestGuard(10e6)
	interrupted := make(chan struct{})
	open := func(interrupt func()) *Body {
		h, err := m.Open(time.Now(), memory.Body{Length: size, Deadline: time.Now().Add(time.Second)}, interrupt)
		qt.Assert(t, err, qt.IsNil)
		return h
	}
	slow := open(func() {
		m.Usage()
		close(interrupted)
	})
	held := int64(0)
	for held < size*2/3 { // too much to leave room for the other body
		n := memory.NextPart(held)
		qt.Assert(t, slow.ask(n).Verdict, qt.Equals, memory.Grant)
		held += n
	}
	began := time.Now()
	never := func(time.Time) bool { return time.Since(began) > waitLimit }
	other := open(func() {})
	for held := int64(0); held <= bodyStart; {
		n := memory.NextPart(held)
		err := other.Extend(n, never)
		qt.Assert(t, err, qt.IsNil)
		held += n
	}
	select {
	case <-interrupted:
	case <-time.After(waitLimit):
		t.Fatal("the read of the slow body wasn't interrupted")
	}
	qt.Assert(t, slow.Refused(), qt.IsNotNil)
}
