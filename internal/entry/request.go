package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/tree"
)

// callPrefix starts the path of a request: /v1/call/{service}/{path at the target}.
const callPrefix = "/v1/call/"

// maxHeld is the longest request body that is held in memory, in bytes, so
// that it can be sent again. A longer one is streamed and sent once.
const maxHeld = 64 << 10

// request is a caller's request on its way through the entry.
type request struct {
	in       *http.Request
	service  *service
	policy   *tree.Policy
	path     string // escaped, at the target
	arrived  time.Time
	deadline time.Time
	body     []byte
	stream   io.Reader // instead of body
	attempt  int
	depth    int
}

func (e *Entry) decodeRequest(_ context.Context, r *http.Request) (any, error) {
	now := time.Now()
	name, path := splitPath(r.URL.EscapedPath())
	sv, ok := e.site.Load().services[name]
	if !ok {
		return nil, unknownService(name)
	}
	q := &request{in: r, service: sv, policy: sv.policy.Load(), path: path, arrived: now}
	if err := q.readHeaders(now); err != nil {
		return nil, err
	}
	if err := q.readBody(); err != nil {
		return nil, err
	}
	return q, nil
}

// splitPath cuts /v1/call/service/rest into the service and /rest.
func splitPath(escaped string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(escaped, callPrefix), "/")
	return service, "/" + path
}

func (q *request) idempotent() bool {
	for _, m := range q.policy.Idempotent {
		if m == q.in.Method {
			return true
		}
	}
	return false
}

func (e *Entry) requestEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, r any) (any, error) {
		return e.serve(ctx, r.(*request))
	}
}

// serve finds a target, dispatches the request there and returns the answer.
func (e *Entry) serve(ctx context.Context, q *request) (a *passing, err error) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	t, err := q.service.acquire(ctx, time.Now(), pool.Arrival{Deadline: q.deadline, Idempotent: q.idempotent()})
	if err != nil {
		cancel()
		return nil, finalError{call.Final{Outcome: call.NotRun, Reason: call.ReasonDeadline, Detail: "time ran out in the queue", Retry: q.policy.RetryAfter}}
	}
	if t.action.Kind == pool.Refuse {
		cancel()
		return nil, finalError{call.Final{Outcome: call.NotRun, Reason: call.ReasonOverload, Detail: t.action.Reason.String(), Retry: t.action.RetryAfter}}
	}
	answer, failure := e.dispatch(ctx, q, t.action)
	if failure != nil {
		cancel()
		t.done(time.Now(), pool.Broken, pool.Load{})
		outcome := call.Unknown
		if failure.Ran == call.DidNotRun {
			outcome = call.NotRun
		}
		return nil, finalError{call.Final{Outcome: outcome, Reason: failure.Stage.Reason(), Detail: failure.Error(), Retry: q.policy.RetryAfter}}
	}
	return &passing{answer: answer, ticket: t, cancel: cancel}, nil
}

// dispatch sends the request to one target, in a span of its own.
func (e *Entry) dispatch(ctx context.Context, q *request, a pool.Action) (*forward.Answer, *forward.Failure) {
	ctx, span := e.tracing.tracer.Start(ctx, "dispatch")
	defer span.End()
	header := make(http.Header)
	e.tracing.carry.Inject(ctx, propagation.HeaderCarrier(header))
	answer, failure := e.forward.Dispatch(ctx, forward.Try{
		Target: a.Addr, Request: q.in, Path: q.path,
		Body: q.body, Stream: q.stream, Length: q.in.ContentLength,
		Timeout: time.Until(q.deadline), Attempt: q.attempt, Depth: q.depth, Header: header,
	})
	if failure != nil {
		span.SetAttributes(attribute.String("failure", failure.Stage.String()))
	}
	return answer, failure
}

// passing is an answer on its way to the caller.
type passing struct {
	answer *forward.Answer
	ticket ticket
	cancel context.CancelFunc
}

func encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	p := response.(*passing)
	defer p.cancel()
	forward.Copy(w, p.answer, func(f *forward.Failure) {
		kind := pool.Served
		if f != nil {
			kind = pool.Broken
		}
		p.ticket.done(time.Now(), kind, pool.Load{InFlight: max(p.answer.Load.Inflight, 0), Known: p.answer.Load.Inflight >= 0, Leaving: p.answer.Load.Leaving})
	})
	return nil
}
