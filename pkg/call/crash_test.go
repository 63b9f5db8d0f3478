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
func (o *crashLoop) send(s *Suspects, a Arrival) {
	const fp = 7
	a.Deadline = o.now.Add(time.Second)
	a.QuarantineRemaining = s.QuarantineRemaining(o.now, fp)
	c := New(Config{Budget: fullBudget(4)})
	acts := c.Arrive(o.now, a)
	for !c.State().Final() {
		var next Actions
		for _, x := range acts.All() {
			switch x.Kind {
			case ActionAcquire:
				next = c.Choose(o.now, Choice{Target: strconv.Itoa(o.crashed)})
			case ActionDispatch:
				next = o.crash(s, &c, x, fp)
			}
		}
		acts = next
	}
	o.reasons[c.Final().Reason]++
}

func (o *crashLoop) crash(s *Suspects, c *Call, x Action, fp uint64) Actions {
	o.crashed++
	began := o.now
	o.now = o.now.Add(time.Millisecond)
	quarantined := s.RecordCrash(o.now, fp, x.Target, began)
	return c.Fail(o.now, Failed{Dispatch: x.Dispatch, Stage: StageSent, Replayable: true, Quarantined: quarantined})
}

func (o *crashLoop) gossip() {
	for i, from := range o.entries {
		for _, to := range o.entries {
			if to != from {
				to.Merge(o.now, strconv.Itoa(i), from.Export(o.now, 10))
			}
		}
	}
}

// A caller sends a request that crashes its target 100 times, one second apart, to one
// entry or to all in turn. Exactly two targets crash per quarantine period. Without
// the quarantine, each send would crash one target, or three with retries.
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
			o := crashLoop{now: start, reasons: map[Reason]int{}}
			for range tt.entries {
				o.entries = append(o.entries, NewSuspects(SuspectsConfig{}))
			}
			for i := range 100 {
				o.send(o.entries[i%tt.entries], Arrival{Idempotent: tt.idempotent})
				o.now = o.now.Add(time.Second)
				o.gossip()
			}
			c.Assert(o.crashed, qt.Equals, 2)
			c.Assert(o.reasons[ReasonQuarantined] >= 98, qt.IsTrue, qt.Commentf("%v", o.reasons))
		})
	}
}
