package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
)

// headerRequestID carries the caller's request id, or a generated one if the
// caller sent none or one longer than maxRequestIDBytes.
const headerRequestID = "X-Request-Id"

// maxRequestIDBytes is the longest request id that is accepted from a caller.
const maxRequestIDBytes = 128

// callerHandler serves the callers' listener: locate and requests only.
func (e *Entry) callerHandler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	return e.instrument(callerRouter{
		locate: kithttp.NewServer(e.locateEndpoint(), decodeLocate, encodeLocate, options...),
		call:   kithttp.NewServer(e.requestEndpoint(), e.decodeRequest, encodeResponse, options...),
	})
}

// callerRouter selects a handler by path. It is used instead of http.ServeMux, which
// redirects paths that contain "//" or "..". Such paths must reach the target
// unchanged, and a client follows the redirect of a POST with a GET.
type callerRouter struct {
	locate http.Handler
	call   http.Handler
}

const locatePath = "/v1/locate"

// ServeHTTP serves locate and requests, and rejects every other path.
func (c callerRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.EscapedPath(), callPrefix):
		c.call.ServeHTTP(w, r)
	case r.URL.Path != locatePath:
		encodeError(r.Context(), noSuchPath(r.URL.Path), w)
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		encodeError(r.Context(), badMethod(r.Method), w)
	default:
		c.locate.ServeHTTP(w, r)
	}
}

// instrument wraps a handler: each request gets an id and a span, its outcome is
// counted and logged, and a panic of its handler becomes a final response.
func (e *Entry) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		id := r.Header.Get(headerRequestID)
		if id == "" || len(id) > maxRequestIDBytes {
			id = uuid.NewString()
			r.Header.Set(headerRequestID, id)
		}
		ctx, span := e.tracing.startRequest(r, id)
		defer span.End()
		ow := &outcomeWriter{ResponseWriter: w}
		in := r.WithContext(ctx)
		if r.ContentLength != 0 {
			ow.body = newCallerBody(w, r)
			in.Body = ow.body
			defer ow.body.limitLinger()
			defer ow.body.free()
		}
		defer e.recordOutcome(ow, r, id, span, began)
		defer e.recoverPanic(ow, id)
		next.ServeHTTP(ow, in)
	})
}

// recoverPanic turns a panic of a request's handler into a final response with
// outcome Unknown, since the request may or may not have run. It passes
// http.ErrAbortHandler on to the server, which then closes the connection: the
// caller must not take a truncated response for a complete one. A panic after
// the response has started aborts the connection for the same reason.
func (e *Entry) recoverPanic(w *outcomeWriter, id string) {
	r := recover()
	if r == nil {
		return
	}
	if r != any(http.ErrAbortHandler) {
		e.logPanic(id, r)
	}
	if w.started || r == any(http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	forward.Refuse(w, call.Final{Outcome: call.Unknown, Reason: call.ReasonPanic, Detail: "a fault in plumpitch itself"})
}

// recordOutcome counts and logs the outcome of a request.
func (e *Entry) recordOutcome(w *outcomeWriter, r *http.Request, id string, span trace.Span, began time.Time) {
	name, _ := splitPath(r.URL.EscapedPath())
	outcome := w.Header().Get(call.HeaderOutcome)
	if r, ok := w.ResponseWriter.(callers.Response); ok {
		r.SetServed(outcome == "" && w.started)
	}
	if sv, ok := e.snapshot.Load().services[name]; ok {
		sv.metrics.latency.RecordDuration(time.Since(began))
		sv.metrics.count(outcome)
	}
	if outcome == "" && e.skipTargetResponses {
		return
	}
	l := e.log.WithFields(log.Fields{
		"request": id, "trace": e.tracing.traceID(r, span), "service": name, "method": r.Method,
		"status": w.status, "took": time.Since(began).String(),
	})
	if outcome == "" {
		l.Debug("answered")
		return
	}
	l = l.WithFields(log.Fields{"outcome": outcome, "reason": w.Header().Get(call.HeaderReason)})
	if outcome == call.Unknown.String() {
		l.Warn("responded in place of a target")
		return
	}
	l.Info("responded in place of a target")
}
