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

// Exporters that the settings file may name.
const (
	traceOff    = "off"
	traceStdout = "stdout"
)

// tracing makes spans and carries their context in W3C headers.
//
// While it is off the request path makes no span and reads no context: the
// caller's own trace headers reach the target as any other header does.
type tracing struct {
	on     bool
	tracer trace.Tracer
	carry  propagation.TraceContext
	close  func()
}

// start begins a span of one hop, or none while tracing is off.
func (t tracing) start(ctx context.Context, name string) (context.Context, trace.Span) {
	if !t.on {
		return ctx, noSpan
	}
	return t.tracer.Start(ctx, name)
}

// noSpan stands for all spans while tracing is off.
var noSpan trace.Span = noop.Span{}

// received begins the span of a caller's request, below the caller's own.
func (t tracing) received(r *http.Request, id string) (context.Context, trace.Span) {
	if !t.on {
		return r.Context(), noSpan
	}
	ctx := t.carry.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return t.tracer.Start(ctx, r.Method, trace.WithAttributes(attribute.String("request", id)))
}

// id is the trace that a request belongs to, its caller's while tracing is off.
func (t tracing) id(r *http.Request, span trace.Span) string {
	if t.on {
		return span.SpanContext().TraceID().String()
	}
	ctx := t.carry.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return trace.SpanContextFromContext(ctx).TraceID().String()
}

// ended ends a span, with the failure if there is one.
func ended(span trace.Span, failure string) {
	if failure != "" {
		span.SetAttributes(attribute.String("failure", failure))
	}
	span.End()
}

// tracedCalls makes a span of each HTTP call and hands the context on.
type tracedCalls struct {
	tracing *tracing
	name    string
	next    http.RoundTripper
}

// RoundTrip calls next.
func (c tracedCalls) RoundTrip(r *http.Request) (res *http.Response, err error) {
	if !c.tracing.on {
		return c.next.RoundTrip(r)
	}
	ctx, span := c.tracing.start(r.Context(), c.name)
	defer func() { ended(span, problem(err)) }()
	span.SetAttributes(attribute.String("method", r.Method), attribute.String("path", r.URL.Path))
	r = r.Clone(ctx)
	c.tracing.carry.Inject(ctx, propagation.HeaderCarrier(r.Header))
	res, err = c.next.RoundTrip(r)
	if err == nil {
		span.SetAttributes(attribute.Int("status", res.StatusCode))
	}
	return res, err
}

func problem(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// tracedClaims makes a span of each claim that the store is asked for.
type tracedClaims struct {
	claims.Store
	tracing *tracing
}

// Put writes a record.
func (t tracedClaims) Put(ctx context.Context, kind, name string, expected uint64, value []byte) (version uint64, err error) {
	ctx, span := t.tracing.start(ctx, "claim write")
	defer func() { ended(span, problem(err)) }()
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
		on:     true,
		tracer: p.Tracer("plumpitch"),
		close:  func() { _ = p.Shutdown(closing()) },
	}, nil
}
