package call

import "time"

// MaxDispatches is the upper limit of Config.MaxDispatches.
const MaxDispatches = 4

const (
	defaultMaxDispatches = 3
	defaultMargin        = 2 * time.Millisecond
	defaultRetryAfter    = 100 * time.Millisecond
)

// Config configures a Call. Zero fields take the defaults.
type Config struct {
	// MaxDispatches limits the dispatches; default 3, at most MaxDispatches. One of which nothing was
	// sent doesn't count among the first 3, except for a trial.
	MaxDispatches int
	Margin        time.Duration // no dispatch when less time remains before the deadline; default 2 ms
	RetryAfter    time.Duration // delay before the caller retries, unless a better one is known; default 100 ms
	Budget        *Budget       // of the service; nil allows no extra dispatch
}

// Call is the lifecycle of one request. It isn't safe for concurrent use.
type Call struct {
	cfg          Config
	arrival      Arrival
	state        State
	pending      acquisition
	token        Token
	dispatches   [MaxDispatches]dispatchState
	n            int // number of dispatches so far
	reason       Reason
	final        Final
	budgetDenied bool // the budget denied an extra dispatch
}

// dispatchState is one dispatch with its status.
type dispatchState struct {
	target string
	status dispatchStatus
	unsent bool // it failed before anything was sent to the target
}

type dispatchStatus uint8

const (
	statusInFlight   dispatchStatus = iota // sent, no result yet
	statusNotRun                           // failed without running
	statusMayHaveRun                       // failed, may have run
	statusRan                              // failed after running
	statusAnswered                         // its response is forwarded
)

// acquisition is the kind of target request that is pending at the pool.
type acquisition uint8

const (
	acquireNone acquisition = iota
	acquireDispatch
	acquireHedge
)

// New returns a Call in state Arrived.
func New(cfg Config) Call {
	if cfg.MaxDispatches <= 0 {
		cfg.MaxDispatches = defaultMaxDispatches
	}
	cfg.MaxDispatches = min(cfg.MaxDispatches, MaxDispatches)
	if cfg.Margin <= 0 {
		cfg.Margin = defaultMargin
	}
	if cfg.RetryAfter <= 0 {
		cfg.RetryAfter = defaultRetryAfter
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
func (c *Call) BudgetDenied() bool {
	return c.budgetDenied
}

// EachTarget calls f with the target of each dispatch so far.
func (c *Call) EachTarget(f func(target string)) {
	for i := range c.dispatches[:c.n] {
		f(c.dispatches[i].target)
	}
}

// Outcome returns the execution status of the request. It depends only on the
// dispatches: a dispatch in flight may have run.
func (c *Call) Outcome() Outcome {
	outcome := NotRun
	for i := range c.dispatches[:c.n] {
		switch c.dispatches[i].status {
		case statusRan, statusAnswered:
			return Ran
		case statusInFlight, statusMayHaveRun:
			outcome = Unknown
		}
	}
	return outcome
}

// inFlight returns the number of dispatches in flight.
func (c *Call) inFlight() (n int) {
	for i := range c.dispatches[:c.n] {
		if c.dispatches[i].status == statusInFlight {
			n++
		}
	}
	return n
}

// mayDispatch reports whether the request may be dispatched again, by the number of dispatches.
func (c *Call) mayDispatch() bool {
	counted := c.n
	for i := range c.dispatches[:c.n] {
		if c.dispatches[i].unsent && !c.arrival.Trial {
			counted--
		}
	}
	return c.n < max(c.cfg.MaxDispatches, defaultMaxDispatches) && counted < c.cfg.MaxDispatches
}

// remaining returns the time in which a target can still respond.
func (c *Call) remaining(now time.Time) time.Duration {
	return c.arrival.Deadline.Sub(now) - c.cfg.Margin
}

func (c *Call) transition(to State) {
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
func (c *Call) isInFlight(i int) bool {
	return i >= 0 && i < c.n && c.dispatches[i].status == statusInFlight
}
