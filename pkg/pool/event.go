package pool

import "time"

// State is what the lists and the store say of a target.
type State uint8

// States of a target.
const (
	Live State = iota
	Leaving
	Gone
)

// Target is one target of the service, as its sources name it.
type Target struct {
	ID    string
	Boot  uint64 // incarnation: a restarted target has another one
	Addr  string // host:port
	Place string
	Slots int // requests that it runs at once; zero means Config.Slots
	State State
	// Evacuated says that its place is to get no new work. It is no word of the target's:
	// work goes there again as soon as that ends.
	Evacuated bool
}

// Arrival is a request that wants a target.
type Arrival struct {
	ID         uint64    // unique among the requests in this pool
	Deadline   time.Time // zero: none
	Idempotent bool
	Avoid      string // target that was tried before, or empty
}

// Kind is how a dispatched request ended.
type Kind uint8

// Ends of a dispatched request.
const (
	Served      Kind = iota // answered without a server error
	Failed                  // answered with a server error
	Shed                    // refused by the target, surely not run
	RefusedConn             // no connection, surely not run
	Broken                  // connection lost before the whole answer
	TimedOut                // no answer by the deadline
	Cancelled               // given up by the entry or the caller
)

// Load is what a target says of itself on an answer.
type Load struct {
	InFlight int  // requests there, of all entries, the answered one included
	Known    bool // whether InFlight was given
	Leaving  bool
}

// Answer is the end of a dispatched request.
type Answer struct {
	ID   uint64
	Kind Kind
	Load Load
}

// Probed is the result of a probe.
type Probed struct {
	Target string
	OK     bool
	Took   time.Duration
	Load   Load
}
