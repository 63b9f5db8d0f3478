package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/slot"
)

const (
	// silenceTimeout is how long a target may leave a request unanswered until it is asked whether
	// it still answers at all.
	silenceTimeout = time.Second
	// minSilence is the same for a request that ends before.
	minSilence = 400 * time.Millisecond
)

// checkSilence checks the targets that have left this request unanswered for the timeout. Connections to
// a machine that has lost its power don't break. It returns the time until the next check.
func (q *request) checkSilence(now time.Time, timeout time.Duration) (next time.Duration) {
	next = silenceTimeout
	for i := range q.dispatches[:q.dispatchCount()] {
		d := &q.dispatches[i]
		if d.checked || d.ended == nil || d.ended.Load() {
			continue
		}
		if left := timeout - now.Sub(d.began); left > 0 {
			next = min(next, left)
			continue
		}
		d.checked = true
		s := silentDispatch{gateway: q.gateway, service: q.service, request: q.id, prints: q.fingerprints(), target: d.target, ended: d.ended}
		s.failed = call.FailedDispatch{Target: d.target.Incarnation(), Began: d.began, Silent: true, Trial: q.trial, Alive: d.alive, Checked: true}
		go s.resolve()
	}
	return next
}

// silentDispatch is a dispatch that its target has left unanswered.
type silentDispatch struct {
	gateway *Gateway
	service *service
	request string
	prints  fingerprints
	target  slot.Target
	failed  call.FailedDispatch
	ended   *atomic.Bool // its result has arrived
}

// resolve asks the target for its health, and records the dispatch as unanswered if it stays silent,
// or as a crash if it has ended.
func (s silentDispatch) resolve() {
	g := s.gateway
	state := s.check()
	if state == targetLives || s.ended.Load() {
		return
	}
	byTrial := false
	if state != targetEnded && s.failed.Alive {
		state = s.check()
		byTrial = s.failed.Crashed(state == targetLives, func() bool { return g.othersAnswer(s.service, s.target) })
	}
	if s.record(time.Now(), state == targetEnded, byTrial) {
		g.control.announceSoon()
	}
	g.log.WithFields(log.Fields{
		logs.FieldRequest: s.request, "target": s.target.ID, "state": state.String(), "print": s.prints.text(),
	}).Info("target left a request unanswered")
}

func (s silentDispatch) check() targetState {
	return s.gateway.endChecks.check("silent "+s.failed.Target, func() targetState {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		defer cancel()
		return s.gateway.askHealth(ctx, s.target, s.service.healthPath())
	})
}

// record records the dispatch, and reports whether the request is held or in quarantine now.
func (s silentDispatch) record(now time.Time, proven, byTrial bool) (held bool) {
	if proven || byTrial {
		s.service.instruments.crashes.Inc(1)
	}
	held = s.prints.recordFailure(s.gateway.suspects, now, s.failed)
	return s.prints.resolveBreak(s.gateway.suspects, now, s.failed.Target, proven, byTrial) || held
}
