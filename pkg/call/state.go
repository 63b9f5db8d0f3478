package call

// State is a state in the lifecycle of a request.
type State uint8

// The states of a request.
const (
	// Arrived: the request has not been processed yet.
	Arrived State = iota
	// Queued: the request waits for a target, and no dispatch is in flight.
	Queued
	// Dispatched: at least one dispatch is in flight.
	Dispatched
	// Answered: a target's response is forwarded. Final.
	Answered
	// Refused: plumpitch responded itself; the request did not run. Final.
	Refused
	// GivenUp: plumpitch responded itself; the request ran or may have run. Final.
	GivenUp
)

var stateNames = [...]string{"arrived", "queued", "dispatched", "answered", "refused", "given-up"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "none"
	}
	return stateNames[s]
}

// Final reports whether s allows no further transition.
func (s State) Final() bool {
	return s >= Answered
}

// allowedTransitions lists the successors of each state. A request returns from
// Dispatched to Queued when its only dispatch in flight failed and a retry is allowed.
var allowedTransitions = [...][]State{
	Arrived:    {Queued, Refused},
	Queued:     {Dispatched, Refused, GivenUp},
	Dispatched: {Queued, Answered, Refused, GivenUp},
	Answered:   nil,
	Refused:    nil,
	GivenUp:    nil,
}

// Allows reports whether a request may go from s to t.
func (s State) Allows(t State) bool {
	for _, n := range allowedTransitions[s] {
		if n == t {
			return true
		}
	}
	return false
}
