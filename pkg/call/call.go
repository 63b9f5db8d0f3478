package call

import "time"

// MaxDispatches is the upper limit of Config.MaxDispatches.
const MaxTries = 4

const (
	defaultTries  = 3
	defaultMargin = 2 * time.Millisecond
	defaultRetry  = 100 * time.Millisecond
)

// Config configures a Call. Zero fields take the defaults.
type Config struct {
	Tries  int           // limit of dispatches; default 3, at most MaxDispatches
	Margin time.Duration // no dispatch when less time remains before the deadline; default 2 ms
	Retry  time.Duration // delay before the caller retries, unless a better one is known; default 100 ms
	Budget *Budget       // of the service; nil allows no extra dispatch
}

// Call is the lifecycle of one request. It isn't safe for concurrent use.
type Call struct {
	cfg     Config
	arrival Arrival
	state   State
	seek    seek
	token   Token
	tries   [MaxTries]try
	n       int
	reason  Reason
	final   Final
	spent   bool // the budget denied an extra dispatch
}

// dispatchState is one dispatch with its status.
type try struct {
	target string
	state  tryState
}

type tryState uint8

const (
	tryFlying   tryState = iota // sent, no result yet
	tryNotRun                   // failed without running
	tryMaybe                    // failed, may have run
	tryRan                      // failed after running
	tryAnswered                 // its response is forwarded
)

// acquisition is the kind of target request that is pending at the pool.
type seek uint8

const (
	seekNone seek = iota
	seekTry
	seekHedge
)

// New returns a Call in state Arrived.
func New(cfg Config) Call {
	if cfg.Tries <= 0 {
		cfg.Tries = defaultTries
	}
	cfg.Tries = min(cfg.Tries, MaxTries)
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.Retry <= 0 {
		cfg.Retry = defaultRetry
	}
	return Call{cfg: cfg}
}

// State returns the state of the request.
func (c *Call) State() State {
	return c.state
}

// Final returns the response for ActionRefuse.
func (c *Call) Final() Final {
	return c.final
}

// BudgetDenied reports whether a retry or hedge was not sent because the budget had no token.
func (c *Call) Spent() bool {
	return c.spent
}

// EachTarget calls f with the target of each dispatch so far.
func (c *Call) Tried(f func(target string)) {
	for i := range c.tries[:c.n] {
		f(c.tries[i].target)
	}
}

// Outcome returns the execution status of the request. It depends only on the
// dispatches: a dispatch in flight may have run.
func (c *Call) Outcome() Outcome {
	outcome := NotRun
	for i := range c.tries[:c.n] {
		switch c.tries[i].state {
		case tryRan, tryAnswered:
			return Ran
		case tryFlying, tryMaybe:
			outcome = Unknown
		}
	}
	return outcome
}

// inFlight returns the number of dispatches in flight.
func (c *Call) flying() (n int) {
	for i := range c.tries[:c.n] {
		if c.tries[i].state == tryFlying {
			n++
		}
	}
	return n
}

// remaining returns the time in which a target can still respond.
func (c *Call) remaining(now time.Time) time.Duration {
	return c.arrival.Deadline.Sub(now) - c.cfg.Margin
}

func (c *Call) move(to State) {
	if c.state == to {
		return
	}
	if !c.state.Allows(to) {
		panic("call: invalid transition from " + c.state.String() + " to " + to.String())
	}
	c.state = to
}

// isInFlight reports whether dispatch i is in flight. Events of any other dispatch are
// late: it was cancelled or has ended.
func (c *Call) flies(i int) bool {
	return i >= 0 && i < c.n && c.tries[i].state == tryFlying
}
