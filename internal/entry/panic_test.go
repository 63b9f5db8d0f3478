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

// panickingTracer panics at the start of the span "dispatch" while it is armed. It
// simulates an internal error during a dispatch.
type panickingTracer struct {
	noop.Tracer
	armed atomic.Bool
}

func (b *panickingTracer) Start(ctx context.Context, name string, o ...trace.SpanStartOption) (context.Context, trace.Span) {
	if name == "dispatch" && b.armed.Load() {
		panic("panic in a dispatch")
	}
	return b.Tracer.Start(ctx, name, o...)
}

// A panic during a dispatch ends only its own request: the caller gets the outcome
// unknown, the slot is freed, and the next request is served normally. An
// unrecovered panic in the goroutine of a dispatch that may be hedged would end
// the process with all its requests.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	w := prepare(t, testService{name: "plain", targets: []string{addr}}, testService{name: "hedged", settings: `"hedge": true`, targets: []string{addr}})
	b := &panickingTracer{}
	w.tracing.enabled, w.tracing.tracer = true, b
	w.serve()
	for _, tt := range []struct {
		name, method, service string
		key                   string
		repeated              string // outcome of a second request with the key
	}{
		{name: "in the request's goroutine", method: "GET", service: "plain"},
		{name: "in a goroutine of its own", method: "GET", service: "hedged"},
		{name: "not idempotent", method: "POST", service: "plain"},
		{name: "keyed", method: "POST", service: "plain", key: "k1", repeated: "unknown run-unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.subtest(t)
			c := w.c
			ask := func(key string) testResponse {
				return w.request(tt.method, "/v1/call/"+tt.service+"/", strings.NewReader("veil"), "Idempotency-Key", key)
			}
			b.armed.Store(true)
			c.Assert(ask(tt.key).outcome(), qt.Equals, "unknown panic")
			b.armed.Store(false)
			w.waitIdle(tt.service)
			if tt.key != "" {
				c.Assert(ask(tt.key).outcome(), qt.Equals, tt.repeated)
			}
			c.Assert(ask("").body, qt.Equals, "fine")
		})
	}
}
