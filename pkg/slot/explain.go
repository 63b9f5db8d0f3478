package slot

import "time"

// TargetStatus is the state of a target, for operators.
type TargetStatus struct {
	Target
	InFlight      int // requests of this entry
	OtherInFlight int // requests of other entries, from the last load report
	LoadKnown     bool
	Pace          float64       // from the last load report
	LoadAge       time.Duration // age of that report
	State         State
	Until         time.Time // end of the ejection, cooldown or pause; otherwise zero
	LeavingSince  time.Time // when it reported that it is leaving; zero if it hasn't
	HasLimit      bool
	Limit         float64   // requests per second that it accepts from all entries together
	LimitedSince  time.Time // when it first reported a limit
}

// State tells whether a target gets requests.
type State string

// States of a target.
const (
	Open          State = "open"      // gets requests
	Busy          State = "busy"      // all slots are taken
	CoolingDown   State = "resting"   // has just refused a request or been unhealthy, or has asked for a pause
	Ejected       State = "out"       // fails requests and gets trial requests only
	Leaving       State = "leaving"   // accepts no new requests
	Evacuated     State = "evacuated" // its failure domain is evacuated
	AddressReused State = "moved"     // another target has answered at its address
	// Throttled means that this entry has used up its share of the limit that the target
	// reports.
	Throttled State = "limited"
)

// Explain returns the state of each target, ordered by ID.
func (b *Balancer) Explain(now time.Time) []TargetStatus {
	rows := make([]TargetStatus, 0, len(b.sorted))
	for _, m := range b.sorted {
		r := TargetStatus{
			Target: m.Target, InFlight: m.inFlight, OtherInFlight: m.otherInFlight(now, &b.config), LoadKnown: m.loadKnown, Pace: m.pace,
			State: b.state(now, m), LeavingSince: m.leavingSince, HasLimit: m.limit.set, Limit: m.limit.rate, LimitedSince: m.limit.setAt,
		}
		if m.loadKnown {
			r.LoadAge = now.Sub(m.loadAt)
		}
		switch r.State {
		case Ejected:
			r.Until = m.ejectedUntil
		case CoolingDown:
			r.Until = latest(m.cooldownUntil, m.pausedUntil)
		}
		rows = append(rows, r)
	}
	return rows
}

func (b *Balancer) state(now time.Time, m *member) State {
	switch {
	case m.addressReused:
		return AddressReused
	case m.Leaving, !m.leavingSince.IsZero():
		return Leaving
	case m.Evacuated:
		return Evacuated
	case m.ejected:
		return Ejected
	case now.Before(m.cooldownUntil), now.Before(m.pausedUntil):
		return CoolingDown
	case !m.limit.admits(now):
		return Throttled
	case m.totalInFlight(now, &b.config) >= m.Slots:
		return Busy
	}
	return Open
}
