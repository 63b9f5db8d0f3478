package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// bomb is a tracer that panics at the start of the span "dispatch" while it is
// armed: a fault of plumpitch itself in the midst of a dispatch.
type bomb struct {
	noop.Tracer
	armed atomic.Bool
}

func (b *bomb) Start(ctx context.Context, name string, o ...trace.SpanStartOption) (context.Context, trace.Span) {
	if name == "dispatch" && b.armed.Load() {
		panic("bomb")
	}
	return b.Tracer.Start(ctx, name, o...)
}

// A fault in plumpitch itself strikes while a request is dispatched. Its caller
// is told that nothing is known, its slot comes back, and the next request is
// served as if nothing had been. A panic in the goroutine of a dispatch that
// may be hedged would end the process with all its requests.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	addr := target(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	w := prepare(t, served{name: "plain", targets: []string{addr}}, served{name: "hedged", set: `"hedge": true`, targets: []string{addr}})
	b := &bomb{}
	w.tracing.on, w.tracing.tracer = true, b
	w.serve()
	for _, tt := range []struct {
		name, method, service string
		key                   string
		resent                string // outcome of the same key again
	}{
		{name: "in the request's goroutine", method: "GET", service: "plain"},
		{name: "in a goroutine of its own", method: "GET", service: "hedged"},
		{name: "not idempotent", method: "POST", service: "plain"},
		{name: "keyed", method: "POST", service: "plain", key: "k1", resent: "unknown run-unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.in(t)
			c := w.c
			ask := func(key string) said {
				return w.ask(tt.method, "/v1/call/"+tt.service+"/", strings.NewReader("veil"), "Idempotency-Key", key)
			}
			b.armed.Store(true)
			c.Assert(ask(tt.key).outcome(), qt.Equals, "unknown panic")
			b.armed.Store(false)
			w.idle(tt.service)
			if tt.key != "" {
				c.Assert(ask(tt.key).outcome(), qt.Equals, tt.resent)
			}
			c.Assert(ask("").body, qt.Equals, "fine")
		})
	}
}
