package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"plumpitch.example/plumpitch/internal/claims"
)

// Span exporters, the values of File.Trace.
const (
	traceOff    = "off"
	traceStdout = "stdout"
)

// tracing creates spans and propagates their context in W3C headers.
//
// While it is off, the request path creates no spans, and the caller's trace
// headers are forwarded to the target like any other header.
type tracing struct {
	enabled    bool
	tracer     trace.Tracer
	propagator propagation.TraceContext
	close      func()
}

// start starts a span, or returns noSpan while tracing is off.
func (t tracing) start(ctx context.Context, name string) (context.Context, trace.Span) {
	if !t.enabled {
		return ctx, noSpan
	}
	return t.tracer.Start(ctx, name)
}

// noSpan is used for all spans while tracing is off.
var noSpan trace.Span = noop.Span{}

// startRequest starts the span of a caller's request, as a child of the caller's
// span.
func (t tracing) startRequest(r *http.Request, id string) (context.Context, trace.Span) {
	if !t.enabled {
		return r.Context(), noSpan
	}
	ctx := t.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return t.tracer.Start(ctx, r.Method, trace.WithAttributes(attribute.String("request", id)))
}

// traceID returns the trace id of a request, which is the caller's while tracing
// is off.
func (t tracing) traceID(r *http.Request, span trace.Span) string {
	if t.enabled {
		return span.SpanContext().TraceID().String()
	}
	ctx := t.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return trace.SpanContextFromContext(ctx).TraceID().String()
}

// endSpan ends a span and records the failure, if any.
func endSpan(span trace.Span, failure string) {
	if failure != "" {
		span.SetAttributes(attribute.String("failure", failure))
	}
	span.End()
}

// tracedTransport creates a span for each HTTP request and injects its context into
// the headers.
type tracedTransport struct {
	tracing *tracing
	name    string
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c tracedTransport) RoundTrip(r *http.Request) (res *http.Response, err error) {
	if !c.tracing.enabled {
		return c.next.RoundTrip(r)
	}
	ctx, span := c.tracing.start(r.Context(), c.name)
	defer func() { endSpan(span, errorText(err)) }()
	span.SetAttributes(attribute.String("method", r.Method), attribute.String("path", r.URL.Path))
	r = r.Clone(ctx)
	c.tracing.propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	res, err = c.next.RoundTrip(r)
	if err == nil {
		span.SetAttributes(attribute.Int("status", res.StatusCode))
	}
	return res, err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// tracedClaims creates a span for each claim written to the store.
type tracedClaims struct {
	claims.Store
	tracing *tracing
}

// Put writes a claim record.
func (t tracedClaims) Put(ctx context.Context, kind, name string, expected uint64, value []byte) (version uint64, err error) {
	ctx, span := t.tracing.start(ctx, "claim write")
	defer func() { endSpan(span, errorText(err)) }()
	return t.Store.Put(ctx, kind, name, expected, value)
}

func newTracing(exporter string, w io.Writer) (t tracing, err error) {
	defer func() { err = errors.WithMessage(err, "trace") }()
	if exporter != traceStdout {
		return tracing{tracer: noop.NewTracerProvider().Tracer("plumpitch"), close: func() {}}, nil
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return t, err
	}
	p := sdk.NewTracerProvider(sdk.WithBatcher(exp))
	return tracing{
		enabled: true,
		tracer:  p.Tracer("plumpitch"),
		close:   func() { _ = p.Shutdown(shutdownContext()) },
	}, nil
}
