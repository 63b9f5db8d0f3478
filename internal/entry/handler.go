package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
)

// headerID is the request's id: the caller's own or a new one.
const headerID = "X-Request-Id"

// maxID bounds a caller's request id, in bytes.
const maxID = 128

// callerHandler is what callers reach: locate and requests, nothing else.
func (e *Entry) callerHandler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	return e.observed(route{
		locate: kithttp.NewServer(e.locateEndpoint(), decodeLocate, encodeLocate, options...),
		call:   kithttp.NewServer(e.requestEndpoint(), e.decodeRequest, encodeAnswer, options...),
	})
}

// route picks by the path. A http.ServeMux would redirect a path that holds
// "//" or "..", which are the target's to understand, and a client follows the
// redirect of a POST with a GET.
type route struct {
	locate http.Handler
	call   http.Handler
}

const locatePath = "/v1/locate"

// ServeHTTP serves the two paths that callers have.
func (m route) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.EscapedPath(), callPrefix):
		m.call.ServeHTTP(w, r)
	case r.URL.Path != locatePath:
		encodeError(r.Context(), noSuchPath(r.URL.Path), w)
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		encodeError(r.Context(), badMethod(r.Method), w)
	default:
		m.locate.ServeHTTP(w, r)
	}
}

// observed gives each request an id and a span, counts and logs its outcome,
// and answers for a request whose handling panics.
func (e *Entry) observed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		id := r.Header.Get(headerID)
		if id == "" || len(id) > maxID {
			id = uuid.NewString()
			r.Header.Set(headerID, id)
		}
		ctx, span := e.tracing.received(r, id)
		defer span.End()
		ow := &outcomeWriter{ResponseWriter: w}
		in := r.WithContext(ctx)
		if r.ContentLength != 0 {
			ow.body = newCallerBody(w, r)
			in.Body = ow.body
			defer ow.body.leave()
		}
		defer e.observe(ow, r, id, span, began)
		defer e.guard(ow, id)
		next.ServeHTTP(ow, in)
	})
}

// guard turns a panic of one request into its final answer. Whether the
// request ran can't be told any more, so it claims nothing. An abort is how a
// cut answer is kept from looking whole, and goes on to the server.
func (e *Entry) guard(w *outcomeWriter, id string) {
	r := recover()
	if r == nil {
		return
	}
	if r != any(http.ErrAbortHandler) {
		e.logPanic(id, r)
	}
	if w.begun || r == any(http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	forward.Refuse(w, call.Final{Outcome: call.Unknown, Reason: call.ReasonPanic, Detail: "a fault in plumpitch itself"})
}

// observe counts and logs a request's outcome.
func (e *Entry) observe(w *outcomeWriter, r *http.Request, id string, span trace.Span, began time.Time) {
	name, _ := splitPath(r.URL.EscapedPath())
	outcome := w.Header().Get(call.HeaderOutcome)
	if sv, ok := e.site.Load().services[name]; ok {
		sv.metrics.latency.RecordDuration(time.Since(began))
		sv.metrics.count(outcome)
	}
	if outcome == "" && e.quiet {
		return
	}
	l := e.log.WithFields(log.Fields{
		"request": id, "trace": e.tracing.id(r, span), "service": name, "method": r.Method,
		"status": w.status, "took": time.Since(began).String(),
	})
	if outcome == "" {
		l.Debug("answered")
		return
	}
	l = l.WithFields(log.Fields{"outcome": outcome, "reason": w.Header().Get(call.HeaderReason)})
	if outcome == call.Unknown.String() {
		l.Warn("final answer")
		return
	}
	l.Info("final answer")
}
