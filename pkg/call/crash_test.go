package call

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crashLoop simulates a caller that repeats a request which crashes its targets. The entries
// exchange their suspects between two sends.
type crashLoop struct {
	entries []*Suspects
	now     time.Time
	crashed int // crashed targets; a new one replaces each
	reasons map[Reason]int
}

// send sends one request of the caller. The result doesn't depend on an idempotency key.
func (l *crashLoop) send(s *Suspects, a Arrival) {
	const fp = 7
	a.Deadline = l.now.Add(time.Second)
	a.QuarantineRemaining = s.QuarantineRemaining(l.now, fp)
	c := New(Config{Budget: fullBudget(4)})
	acts := c.Arrive(l.now, a)
	for !c.State().Final() {
		var next Actions
		for _, x := range acts.All() {
			switch x.Kind {
			case ActionAcquire:
				next = c.Choose(l.now, Choice{Target: strconv.Itoa(l.crashed)})
			case ActionDispatch:
				next = l.crash(s, &c, x, fp)
			}
		}
		acts = next
	}
	l.reasons[c.Final().Reason]++
}

func (l *crashLoop) crash(s *Suspects, c *Call, x Action, fp uint64) Actions {
	l.crashed++
	began := l.now
	l.now = l.now.Add(time.Millisecond)
	quarantined := s.RecordCrash(l.now, fp, x.Target, began)
	return c.Fail(l.now, Failed{Dispatch: x.Dispatch, Stage: StageSent, Replayable: true, Quarantined: quarantined})
}

func (l *crashLoop) gossip() {
	for i, from := range l.entries {
		for _, to := range l.entries {
			if to != from {
				to.Merge(l.now, strconv.Itoa(i), from.Export(l.now, 10))
			}
		}
	}
}

// A caller sends a request that crashes its target 100 times, one second apart, to one
// entry or to all in turn. All sends lie within one quarantine period, in which exactly
// two targets may crash. Without the quarantine, each send would crash one target, or
// three with retries.
func TestCrashingRequest(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		entries    int
	}{
		{"one entry", false, 1},
		{"one entry, idempotent", true, 1},
		{"14 entries in turn", false, 14},
		{"14 entries in turn, idempotent", true, 14},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := crashLoop{now: start, reasons: map[Reason]int{}}
			for range tt.entries {
				l.entries = append(l.entries, NewSuspects(SuspectsConfig{}))
			}
			for i := range 100 {
				l.send(l.entries[i%tt.entries], Arrival{Idempotent: tt.idempotent})
				l.now = l.now.Add(time.Second)
				l.gossip()
			}
			c.Assert(l.crashed, qt.Equals, 2)
			c.Assert(l.reasons[ReasonQuarantined] >= 98, qt.IsTrue, qt.Commentf("%v", l.reasons))
		})
	}
}
