package call

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions.
const (
	// ActionAcquire: request a target from the pool, excluding those already used.
	ActionAcquire ActionKind = iota + 1
	// ActionAcquireHedge: request a target that is free now from the pool, without queueing.
	ActionAcquireHedge
	// ActionWithdraw: withdraw the pending request for a target.
	ActionWithdraw
	// ActionRelease: release the unused slot at Target.
	ActionRelease
	// ActionDispatch: send the request to Target as dispatch number Dispatch.
	ActionDispatch
	// ActionStartHedgeTimer: call Call.Hedge after After.
	ActionStartHedgeTimer
	// ActionCancel: cancel Dispatch and discard its result.
	ActionCancel
	// ActionRespond: forward the response of Dispatch to the caller.
	ActionRespond
	// ActionRefuse: respond to the caller with Call.Final.
	ActionRefuse
)

var actionNames = [...]string{"none", "acquire", "hedge", "withdraw", "release", "dispatch", "timer", "cancel", "answer", "refuse"}

// String returns the name of the kind.
func (k ActionKind) String() string {
	if int(k) >= len(actionNames) {
		return actionNames[0]
	}
	return actionNames[k]
}

// Action is one action for the driver to perform.
type Action struct {
	Kind     ActionKind
	Dispatch int           // number of the dispatch, from 0; of ActionDispatch, ActionCancel, ActionRespond
	Attempt  int           // value of HeaderAttempt; of ActionDispatch
	Target   string        // of ActionDispatch, ActionRelease
	Reason   Reason        // cause of a retry or hedge, empty for the first dispatch; of ActionDispatch
	After    time.Duration // timer delay of ActionStartHedgeTimer, timeout of ActionDispatch
}

// maxActions bounds the actions that follow one event: a withdrawal or a release, a
// cancel for each dispatch, and a response, or a dispatch with a hedge timer.
const maxActions = MaxDispatches + 2

// Actions is the ordered list of actions that follow one event.
type Actions struct {
	list [maxActions]Action
	n    int
}

// All returns the actions. The slice aliases a.
func (a *Actions) All() []Action {
	return a.list[:a.n]
}

func (a *Actions) add(x Action) {
	a.list[a.n] = x
	a.n++
}
