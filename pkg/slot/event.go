package slot

import "time"

// Request wants a target.
type Request struct {
	ID        uint64    // unique in the book
	Arrived   time.Time // at this entry
	Objective time.Time // an answer is worth its full credit until then
	Deadline  time.Time // no answer is of use after it
	Priority  int       // 0 goes first
	Homes     []string  // regions whose targets may get it; empty for all
	Tried     []string  // targets that failed it, which it isn't sent to again
	Hedge     bool      // it is sent at once, or not at all
	Class     string    // requests of one class take about as long as each other
}

// Kind is how a request ended at its target.
type Kind uint8

// Ends of a request at a target.
const (
	Served    Kind = iota // answered as it should be
	Failed                // answered with a server error
	Shed                  // refused by the target, surely not run
	Lost                  // connection failed, or the answer broke off
	TimedOut              // no answer in time
	Cancelled             // the caller is gone, or another answer came first
)

// End is the end of a request at a target.
type End struct {
	ID     uint64
	Kind   Kind
	Report Report
	Moved  bool // another target has its address now
}

// Reply is the end of a question to a target for its load.
type Reply struct {
	Target string
	Report Report
	Well   bool          // it answered, and says that it is well
	Cold   time.Duration // for how much longer it is cold
	Warmth bool          // whether Cold was given
}

// Do is what the driver has to do.
type Do uint8

// The actions.
const (
	Ask    Do = iota + 1 // ask Target for its load; a Reply follows in any case
	Send                 // send request ID to Target
	Refuse               // request ID gets no target
	Rest                 // Target is out: it fails what it is sent
	Back                 // Target gets requests again
	Leaves               // Target has reported that it leaves
	Limit                // Target has named a limit, another one than before, or none any more
	Pause                // Target wants nothing from this entry for the time in Retry
)

// Reason tells why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	NoReason Reason = iota
	Full            // no target could answer it in time
	NoTarget        // no target may get work
	Cold            // all targets have just started and have had what they bear
	Paused          // all targets have had what they take or, some of them, want nothing for a time
	Limited         // the same, some of them by a limit that they name
)

var reasons = [...]string{"none", "full", "notarget", "cold", "paused", "limited"}

// String returns the one-word name of a reason.
func (r Reason) String() string {
	if int(r) >= len(reasons) {
		return reasons[0]
	}
	return reasons[r]
}

// Action is one thing for the driver to do.
type Action struct {
	Do     Do
	ID     uint64
	Target Target
	Reason Reason        // of Refuse
	Retry  time.Duration // of Refuse: when room is likely; of Pause: for how long
	Why    Why           // of Send
	Rate   float64       // of Limit: requests a second
	Named  bool          // of Limit: whether there is one
}

// Why is what a choice was made by, for the log.
type Why struct {
	InFlight int           // requests at the target, this one excluded
	Told     bool          // whether the target has told its load
	Pace     float64       // as it was last told
	Age      time.Duration // of that word
	Expected time.Duration // until the answer
	Asked    int           // targets that were asked
	Waited   time.Duration // since the request's arrival
}
