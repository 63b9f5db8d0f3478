package call

// State is where a request stands in its lifecycle.
type State uint8

// The states of a request.
const (
	// Arrived: nothing was decided yet.
	Arrived State = iota
	// Queued: it waits for a target, and no dispatch is in flight.
	Queued
	// Dispatched: at least one dispatch is in flight.
	Dispatched
	// Answered: a target's answer is passed on. Final.
	Answered
	// Refused: plumpitch answered, and the request surely did not run. Final.
	Refused
	// GivenUp: plumpitch answered, and the request ran or may have run. Final.
	GivenUp
)

var states = [...]string{"arrived", "queued", "dispatched", "answered", "refused", "given-up"}

// String returns the name of a state.
func (s State) String() string {
	if int(s) >= len(states) {
		return "none"
	}
	return states[s]
}

// Final reports whether nothing follows on a state.
func (s State) Final() bool {
	return s >= Answered
}

// next lists the allowed transitions. A request returns from Dispatched to
// Queued when its only dispatch failed and it may be tried again.
var next = [...][]State{
	Arrived:    {Queued, Refused},
	Queued:     {Dispatched, Refused, GivenUp},
	Dispatched: {Queued, Answered, Refused, GivenUp},
	Answered:   nil,
	Refused:    nil,
	GivenUp:    nil,
}

// Allows reports whether a request may go from s to t.
func (s State) Allows(t State) bool {
	for _, n := range next[s] {
		if n == t {
			return true
		}
	}
	return false
}
