package gateway

import (
	"sync"
	"sync/atomic"
)

// reachSign is a sign that a service may be out of reach.
type reachSign uint8

const (
	noSign     reachSign = iota
	someFailed           // a connection could not be opened, or nothing is answered
	mostFailed           // most targets have failed and not answered since
)

const (
	// minSilentProbes is the number of unanswered probes that are a sign of trouble.
	minSilentProbes = 2
	// mostFailedShare is the part of the targets that are most of them.
	mostFailedShare = 2.0 / 3
)

// contactSigns counts what a service's targets were asked and have answered.
type contactSigns struct {
	asked, done, heard atomic.Int64 // probes sent and ended; probes and requests that were answered
	suspected          atomic.Bool  // a connection could not be opened or was lost
	outstanding        int64        // unanswered probes at the last call of takeSign; used by the control loop

	failedCount atomic.Int64 // targets in failed
	mu          sync.Mutex
	failed      map[string]bool // targets that were out of reach when they were last asked, by ID
}

// noteFailed records that a target could not be reached.
func (s *contactSigns) noteFailed(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[string]bool)
	}
	s.failed[target] = true
	s.failedCount.Store(int64(len(s.failed)))
}

// noteHeard records that a target has answered.
func (s *contactSigns) noteHeard(target string) {
	s.heard.Add(1)
	if s.failedCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failed, target)
	s.failedCount.Store(int64(len(s.failed)))
}

// failedAmong returns how many of these targets have failed, and forgets all others.
func (s *contactSigns) failedAmong(ids []string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string]bool)
	for _, id := range ids {
		if s.failed[id] {
			kept[id] = true
		}
	}
	s.failed = kept
	s.failedCount.Store(int64(len(kept)))
	return len(kept)
}

// takeSign returns the sign of trouble since the last call. The control loop calls it.
func (s *service) takeSign() reachSign {
	signs := &s.signs
	outstanding, heard := signs.asked.Load()-signs.done.Load(), signs.heard.Swap(0)
	silent := heard == 0 && min(outstanding, signs.outstanding) >= minSilentProbes
	signs.outstanding = outstanding
	suspected := signs.suspected.Swap(false)
	if signs.failedCount.Load() > 0 {
		var ids []string
		for _, t := range s.targetList() {
			ids = append(ids, t.ID)
		}
		if n := signs.failedAmong(ids); n > 0 && float64(n) >= mostFailedShare*float64(len(ids)) {
			return mostFailed
		}
	}
	if suspected || silent {
		return someFailed
	}
	return noSign
}

// noteUnreachable records that a target could not be reached, and makes the control loop check
// whether the others can.
func (s *service) noteUnreachable(target string) {
	s.signs.noteFailed(target)
	if s.signs.suspected.Swap(true) {
		return
	}
	select {
	case s.gateway.control.inbox <- reachSuspected{}:
	default: // the next tick checks it
	}
}
