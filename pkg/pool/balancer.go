package pool

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Balancer is a Pool with any policy.
type Balancer interface {
	// SetTargets replaces the list of targets. A target not in the list is removed.
	SetTargets(now time.Time, list []Target, out []Action) []Action
	// MarkLeaving records that an incarnation of a target is leaving.
	MarkLeaving(now time.Time, target string, boot uint64, out []Action) []Action
	// LeavingNotices returns the leaving notices that have not expired.
	LeavingNotices(now time.Time) []LeavingNotice
	// Submit dispatches, queues or refuses a request.
	Submit(now time.Time, a Arrival, out []Action) []Action
	// Done processes the completion of a dispatched request.
	Done(now time.Time, c Completion, out []Action) []Action
	// Cancel cancels a queued or dispatched request.
	Cancel(now time.Time, id uint64, out []Action) []Action
	// ProbeDone processes the result of a probe.
	ProbeDone(now time.Time, r ProbeResult, out []Action) []Action
	// Tick performs the work that is due by now.
	Tick(now time.Time, out []Action) []Action
	// NextTick returns when Tick is needed next. The zero time means never.
	NextTick() time.Time
	// Explain returns for each target whether it would be chosen, and why.
	Explain(now time.Time) []TargetStatus
	// RequestCounts returns the number of queued requests and of requests in flight.
	RequestCounts() (queued, inFlight int)
}

// Policy names.
const (
	NameFreeSlot      = "freeslot" // the default
	NameRoundRobin    = "roundrobin"
	NameRandom        = "random"
	NameTwoChoices    = "twochoices"
	NameLeastInFlight = "leastinflight"
)

// PolicyNames returns the names of the policies, the default first.
func PolicyNames() []string {
	return []string{NameFreeSlot, NameRoundRobin, NameRandom, NameTwoChoices, NameLeastInFlight}
}

// NewBalancer returns a pool with the named policy; the empty name is the default.
// The other policies are baselines for comparison: they dispatch immediately, never eject
// a target and send no probes.
func NewBalancer(name string, cfg Config, rnd *rand.Rand) (b Balancer, err error) {
	defer func() { err = errors.WithMessage(err, "pool") }()
	plain := cfg
	plain.Unlimited, plain.IgnoreOutcomes, plain.ProbeBudget = true, true, nil
	switch name {
	case "", NameFreeSlot:
		return New(cfg, FreeSlot{}, rnd), nil
	case NameRoundRobin:
		return New(plain, &RoundRobin{}, rnd), nil
	case NameRandom:
		return New(plain, Random{}, rnd), nil
	case NameTwoChoices:
		return New(plain, TwoChoices{}, rnd), nil
	case NameLeastInFlight:
		return New(plain, LeastInFlight{}, rnd), nil
	}
	return nil, errors.Errorf("policy: found %q, expected one of %v", name, PolicyNames())
}
