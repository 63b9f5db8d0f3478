package slot

import "time"

// TargetStatus is the state of a target, for operators.
type Row struct {
	Target
	InFlight int // requests of this entry
	Foreign  int // requests of other entries, from the last load report
	Told     bool
	Pace     float64       // from the last load report
	Age      time.Duration // age of that report
	State    State
	Until    time.Time // end of the ejection, cooldown or pause; otherwise zero
	Leaves   time.Time // when it reported that it is leaving; zero if it hasn't
	Limited  bool
	Limit    float64   // requests per second that it accepts from all entries together
	Since    time.Time // when it first reported a limit
}

// State tells whether a target gets requests.
type State string

// States of a target.
const (
	Open    State = "open"      // gets requests
	Busy    State = "busy"      // all slots are taken
	Resting State = "resting"   // has just refused a request or been unhealthy, or has asked for a pause
	Out     State = "out"       // fails requests and gets trial requests only
	Left    State = "leaving"   // accepts no new requests
	Vacated State = "evacuated" // its failure domain is evacuated
	Moved   State = "moved"     // another target has answered at its address
	// Throttled means that this entry has used up its share of the limit that the target
	// reports.
	Throttled State = "limited"
)

// Explain returns the state of each target, ordered by ID.
func (b *Book) Explain(now time.Time) []Row {
	rows := make([]Row, 0, len(b.order))
	for _, m := range b.order {
		r := Row{
			Target: m.Target, InFlight: m.inFlight, Foreign: m.others(now, &b.cfg), Told: m.loads, Pace: m.pace,
			State: b.state(now, m), Leaves: m.left, Limited: m.limit.named, Limit: m.limit.rate, Since: m.limit.since,
		}
		if m.loads {
			r.Age = now.Sub(m.told)
		}
		switch r.State {
		case Out:
			r.Until = m.rest
		case Resting:
			r.Until = later(m.closed, m.paused)
		}
		rows = append(rows, r)
	}
	return rows
}

func (b *Book) state(now time.Time, m *member) State {
	switch {
	case m.moved:
		return Moved
	case m.Leaving, !m.left.IsZero():
		return Left
	case m.Evacuated:
		return Vacated
	case m.out:
		return Out
	case now.Before(m.closed), now.Before(m.paused):
		return Resting
	case !m.limit.admits(now):
		return Throttled
	case m.busy(now, &b.cfg) >= m.Slots:
		return Busy
	}
	return Open
}
