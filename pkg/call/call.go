package call

import "time"

// MaxTries is the largest number of dispatches of one request.
const MaxTries = 4

const (
	defaultTries  = 3
	defaultMargin = 2 * time.Millisecond
	defaultRetry  = 100 * time.Millisecond
)

// Config of a Call. Zero fields take the defaults.
type Config struct {
	Tries  int           // dispatches at the most; default 3, up to MaxTries
	Margin time.Duration // no dispatch with less time left; default 2 ms
	Retry  time.Duration // when to come back, if nothing better is known; default 100 ms
	Budget *Budget       // of the service; nil allows no second dispatch
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
	spent   bool // a repeat was denied for want of budget
}

// try is one dispatch.
type try struct {
	target string
	state  tryState
}

type tryState uint8

const (
	tryFlying   tryState = iota // sent, nothing heard
	tryNotRun                   // failed, surely without running
	tryMaybe                    // failed, may have run
	tryRan                      // failed after running
	tryAnswered                 // its answer is the one that is passed on
)

// seek is what the pool was asked for.
type seek uint8

const (
	seekNone seek = iota
	seekTry
	seekHedge
)

// New returns a request that hasn't arrived yet.
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

// State returns where the request stands.
func (c *Call) State() State {
	return c.state
}

// Final returns what DoRefuse tells the caller.
func (c *Call) Final() Final {
	return c.final
}

// Spent reports whether the request wasn't sent again, or not beside a slow target, since the
// budget had nothing left.
func (c *Call) Spent() bool {
	return c.spent
}

// Tried calls f with the target of each dispatch so far.
func (c *Call) Tried(f func(target string)) {
	for i := range c.tries[:c.n] {
		f(c.tries[i].target)
	}
}

// Outcome returns what can be said about the request's execution. It follows
// from the dispatches alone: a dispatch in flight may have run.
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

func (c *Call) flying() (n int) {
	for i := range c.tries[:c.n] {
		if c.tries[i].state == tryFlying {
			n++
		}
	}
	return n
}

// remaining returns the time in which a target could still answer.
func (c *Call) remaining(now time.Time) time.Duration {
	return c.arrival.Deadline.Sub(now) - c.cfg.Margin
}

func (c *Call) move(to State) {
	if c.state == to {
		return
	}
	if !c.state.Allows(to) {
		panic("call: transition from " + c.state.String() + " to " + to.String())
	}
	c.state = to
}

// flies reports whether i names a dispatch in flight. Events of any other are
// late: they belong to a dispatch that was cancelled or has ended.
func (c *Call) flies(i int) bool {
	return i >= 0 && i < c.n && c.tries[i].state == tryFlying
}
