package call

import "time"

// Do is what a driver has to do.
type Do uint8

// The actions.
const (
	// DoSeek: ask the pool for a target, other than those tried.
	DoSeek Do = iota + 1
	// DoHedge: ask the pool for a target at once, or not at all.
	DoHedge
	// DoWithdraw: the target that was asked for is not needed any more.
	DoWithdraw
	// DoRelease: give back the slot at Target, unused.
	DoRelease
	// DoDispatch: send the request to Target as Try.
	DoDispatch
	// DoTimer: call Hedge after After.
	DoTimer
	// DoCancel: cancel Try and drop whatever it brings.
	DoCancel
	// DoAnswer: pass the answer of Try on.
	DoAnswer
	// DoRefuse: answer the caller with Call.Final.
	DoRefuse
)

var dos = [...]string{"none", "seek", "hedge", "withdraw", "release", "dispatch", "timer", "cancel", "answer", "refuse"}

// String returns the name of an action.
func (d Do) String() string {
	if int(d) >= len(dos) {
		return dos[0]
	}
	return dos[d]
}

// Action is one thing for the driver to do.
type Action struct {
	Do      Do
	Try     int           // of DoDispatch, DoCancel, DoAnswer
	Attempt int           // HeaderAttempt of DoDispatch
	Target  string        // of DoDispatch, DoRelease
	Why     Reason        // of DoDispatch: why it isn't the first one; empty for that one
	After   time.Duration // wait of DoTimer, time for DoDispatch
}

// maxActions bounds what one event can lead to: a withdrawal or a release, a
// cancel for each try, and an answer, or a dispatch with a timer.
const maxActions = MaxTries + 2

// Actions are what follows on one event, in order.
type Actions struct {
	list [maxActions]Action
	n    int
}

// All returns the actions. The slice is valid as long as a is.
func (a *Actions) All() []Action {
	return a.list[:a.n]
}

func (a *Actions) add(x Action) {
	a.list[a.n] = x
	a.n++
}
