package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// A caller's trace continues through the entry to the target: the span of the
// request is a child of the caller's, and its steps have spans in the same trace.
func TestSpansOfRequest(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("Traceparent")) })
	w := prepare(t, testService{name: "plain", targets: []string{addr}})
	recorder := tracetest.NewSpanRecorder()
	w.tracing.enabled = true
	w.tracing.tracer = sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder)).Tracer("test")
	w.serve()
	for _, tt := range []struct {
		name, method, path, key string
		spans                   []string // in addition to the request's own
	}{
		{name: "locate", method: "GET", path: "/v1/locate?service=plain", spans: []string{"locate"}},
		{name: "request", method: "GET", path: "/v1/call/plain/", spans: []string{"queue", "dispatch"}},
		{name: "keyed", method: "POST", path: "/v1/call/plain/", key: "k", spans: []string{"claim", "claim write", "queue", "dispatch"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := w.subtest(t)
			const id = "0af7651916cd43dd8448eb211c80319c"
			trace := strings.Replace(id, "0", string(tt.name[0]%10+'0'), 1)
			got := w.request(tt.method, tt.path, nil, "Traceparent", "00-"+trace+"-b7ad6b7169203331-01", "Idempotency-Key", tt.key)
			w.c.Assert(got.StatusCode, qt.Equals, http.StatusOK)
			w.waitFor("the spans", func() bool { return len(spansOfTrace(recorder, trace)) >= 1+len(tt.spans) })
			spans := spansOfTrace(recorder, trace)
			for _, name := range append(tt.spans, tt.method) {
				w.c.Assert(spans[name], qt.Not(qt.IsNil), qt.Commentf("%s", name))
			}
			w.c.Assert(spans[tt.method].Parent().SpanID().String(), qt.Equals, "b7ad6b7169203331")
			if d := spans["dispatch"]; d != nil {
				w.c.Assert(got.body, qt.Equals, "00-"+trace+"-"+d.SpanContext().SpanID().String()+"-01")
				w.c.Assert(attributes(d), qt.DeepEquals, map[string]string{"target": "plain at " + addr, "attempt": "0", "status": "200"})
			}
		})
	}
	w.waitFor("a span of a store call", func() bool {
		for _, s := range recorder.Ended() {
			if s.Name() == "store" && attributes(s)["status"] == "200" {
				return true
			}
		}
		return false
	})
}

// spansOfTrace returns the ended spans of a trace, by name.
func spansOfTrace(r *tracetest.SpanRecorder, trace string) map[string]sdk.ReadOnlySpan {
	spans := map[string]sdk.ReadOnlySpan{}
	for _, s := range r.Ended() {
		if s.SpanContext().TraceID().String() == trace {
			spans[s.Name()] = s
		}
	}
	return spans
}

func attributes(s sdk.ReadOnlySpan) map[string]string {
	all := map[string]string{}
	for _, a := range s.Attributes() {
		all[string(a.Key)] = a.Value.Emit()
	}
	return all
}

// While tracing is off, a caller's trace header reaches the target unchanged.
func TestTraceHeaderForwardedWhileTracingOff(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Header.Get("Traceparent")) })
	w := start(t, testService{name: "plain", targets: []string{addr}})
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	w.c.Assert(w.request("GET", "/v1/call/plain/", nil, "Traceparent", parent).body, qt.Equals, parent)
}
