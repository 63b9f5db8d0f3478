package entry

import (
	"net/http"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
)

// outcomeOfStatus returns the outcome that a complete response counts as for its
// target.
func outcomeOfStatus(status int) pool.Outcome {
	if status >= http.StatusInternalServerError {
		return pool.Failed
	}
	return pool.Served
}

// outcomeOfStage returns the outcome that a failed dispatch counts as for its
// target.
func outcomeOfStage(s call.Stage) pool.Outcome {
	switch s {
	case call.StageConnect, call.StageRefused, call.StageUnsent:
		return pool.ConnectFailed
	case call.StageTimeout:
		return pool.TimedOut
	case call.StageCancelled, call.StageCaller:
		return pool.Cancelled
	}
	return pool.ConnectionLost
}

func poolLoad(l forward.Load) pool.Load {
	return pool.Load{InFlight: max(l.InFlight, 0), HasInFlight: l.InFlight >= 0, Leaving: l.Leaving}
}

// refusalReason returns the reason that a caller gets for a balancer's refusal.
func refusalReason(r pool.Reason) call.Reason {
	switch r {
	case pool.QueueFull:
		return call.ReasonOverload
	case pool.TooLate, pool.DeadlineNear:
		return call.ReasonDeadline
	}
	return call.ReasonUnavailable
}
