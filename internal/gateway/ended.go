package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/slot"
	"plumpitch.example/plumpitch/platform"
)

// Checks of targets that broke a connection.
const (
	// endCheckTimeout bounds one check. A target that is unreachable doesn't refuse connections.
	endCheckTimeout = 300 * time.Millisecond
	// endCheckTries is how often a target is asked that accepts connections and closes them, and
	// endCheckPause the time between. A process that ends may accept connections a moment longer.
	endCheckTries = 3
	endCheckPause = 20 * time.Millisecond
)

// targetState is what a check has found out about a target.
type targetState int

const (
	targetLives targetState = iota
	targetEnded
	targetUnreachable // it has ended, or this entry doesn't reach it
	targetClosing     // it accepts connections and answers nothing
)

func (s targetState) String() string {
	return [...]string{"lives", "ended", "unreachable", "closing"}[s]
}

// endChecks checks targets that broke a connection, each once at a time: a target that ends
// breaks the connections of all its requests.
type endChecks struct {
	mu     sync.Mutex
	checks map[string]*endCheck // in progress, by incarnation of the target
}

type endCheck struct {
	done  chan struct{}
	state targetState
}

// check returns the state of a target. Concurrent calls for a target share one check.
func (e *endChecks) check(target string, run func() targetState) targetState {
	e.mu.Lock()
	c := e.checks[target]
	if c != nil {
		e.mu.Unlock()
		<-c.done
		return c.state
	}
	c = &endCheck{done: make(chan struct{})}
	if e.checks == nil {
		e.checks = make(map[string]*endCheck)
	}
	e.checks[target] = c
	e.mu.Unlock()
	c.state = run()
	e.mu.Lock()
	delete(e.checks, target)
	e.mu.Unlock()
	close(c.done)
	return c.state
}

// checkEnded asks a target for its health. Any response but that of another instance shows that
// it lives. A connection that it accepts doesn't show that it has ended.
func (g *Gateway) checkEnded(t slot.Target, healthPath string) targetState {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	for range endCheckTries {
		if state := g.askHealth(ctx, t, healthPath); state != targetClosing {
			return state
		}
		sleep(ctx, endCheckPause)
	}
	return targetClosing
}

// healthTries is how often a target is asked whose response isn't identified.
const healthTries = 2

// askHealth asks a target for its health. Responses that aren't identified only show that it lives.
func (g *Gateway) askHealth(ctx context.Context, t slot.Target, healthPath string) (state targetState) {
	for range healthTries {
		_, header, err := g.probe(ctx, t.Address, healthPath)
		if !errors.Is(err, forward.ErrUnidentified) {
			return healthState(t, header, err)
		}
	}
	return targetLives
}

// probe asks a target for its health once.
func (g *Gateway) probe(ctx context.Context, address, healthPath string) (status int, h http.Header, err error) {
	return g.forward.Probe(ctx, forward.ProbeParams{Target: address, Path: healthPath, IsOwn: platform.IsHealthResponse})
}

// healthState returns what the response to a health check, or its error, says about a target.
func healthState(t slot.Target, header http.Header, err error) targetState {
	switch id := platform.InstanceID(header); {
	case errors.Is(err, syscall.ECONNREFUSED), err == nil && id != t.ID:
		return targetEnded
	case err == nil:
		return targetLives
	case isUnreachable(err):
		return targetUnreachable
	}
	return targetClosing
}

// isUnreachable reports whether an error of a probe leaves open whether the target has ended.
func isUnreachable(err error) bool {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	for _, errno := range []error{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, context.DeadlineExceeded} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// noteBrokenConnection records that a target broke the connection of this request, and checks in
// the background whether it has ended. It reports whether the request is held now.
func (q *request) noteBrokenConnection(now time.Time, d *dispatch, stage call.Stage) (held bool) {
	failed := call.FailedDispatch{
		Target: d.target.Incarnation(), Stage: stage, Began: d.began, Trial: q.trial, Alive: d.alive, Checked: true,
	}
	held = q.fingerprints().recordFailure(q.gateway.suspects, now, failed)
	if held {
		q.gateway.control.announceSoon()
	}
	b := brokenConnection{gateway: q.gateway, service: q.service, request: q.id, prints: q.fingerprints(), target: d.target, failed: failed}
	go b.resolve()
	return held
}

// brokenConnection is a dispatch whose connection the target broke.
type brokenConnection struct {
	gateway *Gateway
	service *service
	request string
	prints  fingerprints
	target  slot.Target
	failed  call.FailedDispatch
}

// resolve counts the target as crashed by the request if it has ended. An unreachable target
// counts only if this entry still reaches others: else the entry is the one that is cut off.
func (b brokenConnection) resolve() {
	g, incarnation := b.gateway, b.target.Incarnation()
	state := b.check()
	proven := state == targetEnded || state == targetUnreachable && b.service.answeredSince(b.target.ID, b.failed.Began)
	byTrial := b.failed.Crashed(state == targetLives, b.othersAnswer)
	if !proven && !byTrial && b.failed.Alive {
		time.Sleep(call.TrialRecheck)
		state = b.check()
		byTrial = b.failed.Crashed(state == targetLives && !b.service.restarted(b.target), b.othersAnswer)
	}
	ended := proven || byTrial
	if ended {
		b.service.instruments.crashes.Inc(1)
	}
	b.prints.resolveBreak(g.suspects, time.Now(), incarnation, proven, byTrial)
	if ended {
		g.control.announceSoon()
	}
	g.log.WithFields(log.Fields{
		logs.FieldRequest: b.request, "target": b.target.ID, "state": state.String(), "counted": ended,
		"print": b.prints.text(), "crashes": b.prints.crashCount(g.suspects),
	}).Info("target checked after a broken connection")
}

func (b brokenConnection) check() targetState {
	g := b.gateway
	return g.endChecks.check(b.target.Incarnation(), func() targetState { return g.checkEnded(b.target, b.service.healthPath()) })
}

func (b brokenConnection) othersAnswer() bool { return b.gateway.othersAnswer(b.service, b.target) }

// maxOthersAsked is how many targets are asked to tell one that has ended from lost connections.
const maxOthersAsked = 3

// othersAnswer reports whether another target of the service answers a health check.
func (g *Gateway) othersAnswer(s *service, t slot.Target) bool {
	others := slices.DeleteFunc(s.targetList(), func(o slot.Target) bool { return o.ID == t.ID })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxOthersAsked)]
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	results := make(chan targetState, len(others))
	for _, o := range others {
		go func() { results <- g.askHealth(ctx, o, s.healthPath()) }()
	}
	for range others {
		if <-results == targetLives {
			return true
		}
	}
	return false
}
