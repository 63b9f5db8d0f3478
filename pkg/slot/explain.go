package slot

import "time"

// Row is what is known of a target, for operators.
type Row struct {
	Target
	InFlight int // requests of this entry
	Foreign  int // requests of other entries, as last told
	Told     bool
	Pace     float64       // as last told
	Age      time.Duration // of that word
	State    State
	Until    time.Time // end of a rest; zero where there is none
	Leaves   time.Time // when it reported that it leaves; zero where it has not
	Limited  bool
	Limit    float64   // requests a second that it takes from all entries together
	Since    time.Time // when it first named a limit
}

// State says whether a target gets requests.
type State string

// The states.
const (
	Open    State = "open"      // gets requests
	Busy    State = "busy"      // all slots are taken
	Resting State = "resting"   // refused or was unwell a moment ago, or wants nothing for a time
	Out     State = "out"       // fails what it is sent, gets trials only
	Left    State = "leaving"   // wants no new work
	Vacated State = "evacuated" // its failure domain is to get no requests
	Moved   State = "moved"     // another target answered at its address
	// Throttled targets have had of this entry what the limit that they name allows.
	Throttled State = "limited"
)

// Explain tells of each target, by id, whether it gets requests and why not.
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
