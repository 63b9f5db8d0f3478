package gateway

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

const (
	// silenceTimeout is how long a target may leave a request unanswered until it is asked whether
	// it still answers at all.
	silenceTimeout = time.Second
	// minSilence is the same for a request that ends before.
	minSilence = 400 * time.Millisecond
)

// checkSilence checks the targets that have left this request unanswered for so long. Connections to a
// target whose machine has ended don't break. It returns the time until the next check.
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
		s := silentDispatch{gateway: q.gateway, service: q.service, request: q.id, prints: q.fingerprints(), target: d.target, began: d.began, trial: q.trial, ended: d.ended}
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
	began   time.Time
	trial   bool
	ended   *atomic.Bool // its result has arrived
}

// resolve asks the target for its health, and records the dispatch as unanswered if it stays silent,
// or as a crash if it has ended.
func (s silentDispatch) resolve() {
	g, incarnation := s.gateway, s.target.Incarnation()
	state := g.endChecks.check("silent "+incarnation, func() targetState { return g.checkAnswers(s.target, s.service.healthPath()) })
	if state == targetLives || s.ended.Load() {
		return
	}
	if state == targetEnded {
		s.service.instruments.crashes.Inc(1)
	}
	if s.record(time.Now(), incarnation, state) {
		g.control.announceSoon()
	}
	g.log.WithFields(log.Fields{
		logs.FieldRequest: s.request, "target": s.target.ID, "state": state.String(), "print": s.prints.text(),
	}).Info("target left a request unanswered")
}

// checkAnswers asks a target for its health. In contrast to checkEnded, a target that sends nothing
// doesn't count as alive.
func (g *Gateway) checkAnswers(t slot.Target, healthPath string) targetState {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	_, header, err := g.forward.Probe(ctx, t.Address, healthPath)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return targetEnded
	case err != nil:
		return targetUnreachable
	}
	if id := platform.InstanceID(header); id != "" && id != t.ID {
		return targetEnded
	}
	return targetLives
}

// record records the dispatch, and reports whether the request is held or in quarantine now.
func (s silentDispatch) record(now time.Time, incarnation string, state targetState) (held bool) {
	suspects := s.gateway.suspects
	if state == targetEnded {
		quarantined := suspects.RecordCrash(now, s.prints.content, incarnation, s.began)
		return suspects.RecordCrash(now, s.prints.headers, incarnation, s.began) || quarantined
	}
	return s.prints.recordFailure(suspects, now, call.FailedDispatch{Target: incarnation, Began: s.began, Silent: true, Trial: s.trial})
}
