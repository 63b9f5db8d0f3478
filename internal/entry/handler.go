package entry

import (
	"net/http"

	kithttp "github.com/go-kit/kit/transport/http"
	"go.opentelemetry.io/otel/propagation"
)

// callerHandler is what callers reach: locate and requests, nothing else.
func (e *Entry) callerHandler() http.Handler {
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(encodeError)}
	mux := http.NewServeMux()
	mux.Handle("GET /v1/locate", kithttp.NewServer(e.locateEndpoint(), decodeLocate, encodeLocate, options...))
	mux.Handle(callPrefix, kithttp.NewServer(e.requestEndpoint(), e.decodeRequest, encodeAnswer, options...))
	return e.traced(mux)
}

// traced starts the span of the whole request.
func (e *Entry) traced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := e.tracing.carry.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := e.tracing.tracer.Start(ctx, r.Method)
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
