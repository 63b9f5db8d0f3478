package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/platform"
)

// An entry that is cut off from a service's targets passes its requests on to a delegate, an entry
// that reaches them. The delegate serves them like those of its own callers, but takes no token of a
// client account for them, counts them in no request rate, and never passes them on.

const (
	// maxPassOns is the number of delegates that a request is passed on to, one after the other.
	// Each but the last has certainly not run it.
	maxPassOns = 3
	// reasonNoReach is why a delegate refuses a request: it is cut off from the targets too.
	reasonNoReach = "noreach"
	// reasonLeaving is why a delegate refuses a request: it is about to stop.
	reasonLeaving = "leaving"
)

// passOn passes the request on, if this entry doesn't reach its service and others do. It
// reports whether the request has been answered. Otherwise it has certainly not run.
func (q *request) passOn() (answered bool) {
	if q.passedOn || !q.service.lost.Load() {
		return false
	}
	delegates := q.gateway.view.Load().delegates[q.service.name()]
	if len(delegates) == 0 {
		return false
	}
	start := rand.IntN(min(len(delegates), maxPassOns))
	for i := range min(len(delegates), maxPassOns) {
		e := delegates[(start+i)%len(delegates)]
		if q.passOnTo(e) {
			return true
		}
	}
	return false
}

// passOnTo passes the request on to one delegate, and reports whether it has been answered.
func (q *request) passOnTo(e owner.Entry) (answered bool) {
	ctx, cancel := context.WithCancel(q.r.Context())
	defer cancel()
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		select {
		case <-q.gateway.giveUp:
			cancel()
		case <-finished:
		}
	}()
	resp, failure := q.dispatchTo(ctx, e.PeerAddress)
	q.noteRepeatedIDs(result{response: resp, failure: failure}.repeatedIDs(), log.Fields{"peer": e.Name})
	switch {
	case failure != nil && neverSent(failure):
		q.logPassOn(e.Name, failure.Stage.String())
		return false
	case failure == nil && notServedHere(resp):
		resp.Close()
		q.logPassOn(e.Name, resp.Header.Get(call.HeaderReason))
		return false
	}
	q.finishPassOn(e.Name, resp, failure)
	return true
}

// neverSent reports whether a delegate got nothing of the request, and another one may get it.
func neverSent(f *forward.Failure) bool {
	return f.Execution == call.DidNotRun && f.Stage != call.StageTimeout && f.Stage != call.StageCancelled
}

// dispatchTo sends the request to a delegate.
func (q *request) dispatchTo(ctx context.Context, peer string) (*forward.Response, *forward.Failure) {
	return q.gateway.peers.Dispatch(ctx, forward.DispatchParams{
		Target: peer, Request: q.r, Path: q.r.URL.EscapedPath(), Body: q.body,
		Timeout: dispatchTimeout(q.deadline(), time.Now()), TimeoutHeader: platform.TimeoutHeader,
		Header: http.Header{relay.HeaderPassedOn: {q.gateway.self.Name}, relay.HeaderService: {q.service.name()}},
	})
}

// notServedHere reports whether a delegate's response says that the request has not run, for a
// reason that another entry may not have.
func notServedHere(resp *forward.Response) bool {
	switch delegateReason(resp) {
	case reasonNoReach, reasonLeaving, string(call.ReasonConnect), "noconfig", "noservice", "noroute":
		return resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusNotFound
	}
	return false
}

// delegateReason returns the reason of an error response that a delegate has made itself for this
// request; empty if it hasn't.
func delegateReason(resp *forward.Response) string {
	if resp.Identity != forward.OwnID || resp.Status < http.StatusBadRequest || platform.IsSigned(resp.Header) {
		return ""
	}
	return resp.Header.Get(call.HeaderReason)
}

// finishPassOn answers the caller with the response of a delegate, or with its failure.
func (q *request) finishPassOn(peer string, resp *forward.Response, failure *forward.Failure) {
	if failure != nil {
		q.logPassOn(peer, failure.Stage.String())
		q.countAccount(resultFailed)
		switch {
		case q.r.Context().Err() != nil:
			panic(http.ErrAbortHandler)
		case failure.Stage == call.StageTimeout:
			q.respond(http.StatusGatewayTimeout, string(call.ReasonTimeout))
		default:
			q.respond(http.StatusBadGateway, string(failure.Stage.Reason()))
		}
		q.hasToken = false
		return
	}
	q.logPassOn(peer, strconv.Itoa(resp.Status))
	if reason := delegateReason(resp); reason != "" {
		q.copyRefusal(resp, reason)
		return
	}
	if !q.validResponse(resp) {
		resp.Close()
		q.hasToken = false
		q.countAccount(resultFailed)
		q.respond(http.StatusBadGateway, string(call.StageInvalid.Reason()))
		return
	}
	q.hasToken = false
	q.countAccount(resultServed)
	if resp.Body == nil {
		resp.Header.Set("Content-Length", strconv.Itoa(len(resp.Buffered)))
	}
	forward.Copy(q.w, resp, func(f *forward.Failure) {
		if f != nil {
			q.gateway.log.WithFields(q.logFields()).WithError(f.Cause).Info("response to the caller broke off")
		}
	})
}

// copyRefusal answers the caller with an error response that a delegate has made itself.
func (q *request) copyRefusal(resp *forward.Response, reason string) {
	defer resp.Close()
	if retry := resp.Header.Get("Retry-After"); retry != "" {
		q.w.Header().Set("Retry-After", retry)
	}
	if impliesNotRun(resp.Status) {
		q.countAccount(resultOverload)
	} else {
		q.hasToken = false
		q.countAccount(resultFailed)
	}
	q.respond(resp.Status, reason)
}

// logPassOn logs what became of the request at a delegate.
func (q *request) logPassOn(peer, outcome string) {
	f := q.logFields()
	f["peer"], f["outcome"] = peer, outcome
	q.service.instruments.passedOn.Inc(1)
	q.gateway.log.WithFields(f).Info("passed on to an entry that reaches its targets")
}

// servePassedOn serves a request that another entry has passed on.
func (g *Gateway) servePassedOn(w http.ResponseWriter, r *http.Request) {
	g.passedOnActive.Add(1)
	defer g.passedOnActive.Add(-1)
	q := &request{gateway: g, w: w, r: r, arrived: time.Now(), id: platform.RequestID(r.Header), passedOn: true, chosen: r.Header.Get(relay.HeaderService)}
	if g.leaving.Load() {
		q.refuse(reasonLeaving, noConfigRetry)
	} else {
		r.Header.Del(relay.HeaderPassedOn)
		r.Header.Del(relay.HeaderService)
		q.serve()
	}
	// A stop closes the connections of other entries once no request is active.
	_ = http.NewResponseController(w).Flush()
}

// chooseService returns the service that serves the request: the next one of the route's split.
// The entry that has passed the request on has chosen already; a second choice would distort the
// weights when it reaches only some of the services.
func (q *request) chooseService() string {
	for _, s := range q.route.Services {
		if q.passedOn && s.Service == q.chosen {
			return q.chosen
		}
	}
	return q.route.Split.Next()
}

// passedOnPoll is the time between two looks whether passed on requests are left.
const passedOnPoll = 5 * time.Millisecond

// awaitPassedOn waits until no request that another entry has passed on is left.
func (g *Gateway) awaitPassedOn(ctx context.Context) {
	for g.passedOnActive.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, passedOnPoll)
	}
	if n := g.passedOnActive.Load(); n > 0 {
		g.log.WithFields(log.Fields{"requests": n}).Warn("shutdown deadline passed with passed on requests unfinished")
	}
}
