package entry

import (
	"io"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Exporters that the settings file may name.
const (
	traceOff    = "off"
	traceStdout = "stdout"
)

// tracing makes spans and carries their context in W3C headers.
type tracing struct {
	tracer trace.Tracer
	carry  propagation.TraceContext
	close  func()
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
		tracer: p.Tracer("plumpitch"),
		close:  func() { _ = p.Shutdown(closing()) },
	}, nil
}
