package entry

import (
	"net/http"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
)

// kindOf is how a whole answer counts for its target.
func kindOf(status int) pool.Kind {
	if status >= http.StatusInternalServerError {
		return pool.Failed
	}
	return pool.Served
}

// kindOfStage is how a failed dispatch counts for its target.
func kindOfStage(s call.Stage) pool.Kind {
	switch s {
	case call.StageConnect, call.StageRefused, call.StageUnsent:
		return pool.RefusedConn
	case call.StageTimeout:
		return pool.TimedOut
	case call.StageCancelled, call.StageCaller:
		return pool.Cancelled
	}
	return pool.Broken
}

func loadOf(l forward.Load) pool.Load {
	return pool.Load{InFlight: max(l.Inflight, 0), Known: l.Inflight >= 0, Leaving: l.Leaving}
}

// reasonOf is what a caller is told of a pool's refusal.
func reasonOf(r pool.Reason) call.Reason {
	switch r {
	case pool.QueueFull:
		return call.ReasonOverload
	case pool.TooLate, pool.DeadlineUp:
		return call.ReasonDeadline
	}
	return call.ReasonUnavailable
}
