package pool

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Chooser is a pool of any policy.
type Chooser interface {
	// Targets takes the whole list of targets; one that is missing is gone.
	Targets(now time.Time, list []Target, out []Action) []Action
	// Leave takes word that an incarnation of a target is leaving.
	Leave(now time.Time, target string, boot uint64, out []Action) []Action
	// Held returns the leaving words in force.
	Held(now time.Time) []Held
	// Arrive takes a request; it is dispatched, queued or refused.
	Arrive(now time.Time, a Arrival, out []Action) []Action
	// Done takes the end of a dispatched request.
	Done(now time.Time, a Answer, out []Action) []Action
	// Cancel takes back a queued request, or gives up a dispatched one.
	Cancel(now time.Time, id uint64, out []Action) []Action
	// Probed takes the result of a probe.
	Probed(now time.Time, r Probed, out []Action) []Action
	// Tick does what is due by now.
	Tick(now time.Time, out []Action) []Action
	// Next tells when Tick is needed next; the zero time means not at all.
	Next() time.Time
	// Explain tells of each target why it would or would not be chosen.
	Explain(now time.Time) []Row
	// Len returns the number of queued requests and of those in flight.
	Len() (queued, inFlight int)
}

// Names of the policies.
const (
	NameFreeSlot      = "freeslot" // the product's own, the default
	NameRoundRobin    = "roundrobin"
	NameRandom        = "random"
	NameTwoChoices    = "twochoices"
	NameLeastInFlight = "leastinflight"
)

// Names lists the policies, the default first.
func Names() []string {
	return []string{NameFreeSlot, NameRoundRobin, NameRandom, NameTwoChoices, NameLeastInFlight}
}

// ByName returns a pool with the named policy; the empty name is the default.
// The baselines dispatch at once and judge nothing.
func ByName(name string, cfg Config, rnd *rand.Rand) (c Chooser, err error) {
	defer func() { err = errors.WithMessage(err, "pool") }()
	plain := cfg
	plain.Unlimited, plain.Blind, plain.Budget = true, true, nil
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
	return nil, errors.Errorf("policy: found %q, expected one of %v", name, Names())
}
