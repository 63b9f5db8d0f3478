package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"

	"plumpitch.example/plumpitch/pkg/call"
)

// locateRequest asks for the entries that serve a service.
type locateRequest struct {
	service string
}

type locateResponse struct {
	service   string
	addresses []string // host:port, the preferred one first
	ttl       time.Duration
}

func (e *Entry) locateEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		_, span := e.tracing.start(ctx, "locate")
		defer span.End()
		q := request.(locateRequest)
		addrs, ttl, ok := e.snapshot.Load().locate(q.service)
		if !ok {
			return nil, unknownService(q.service)
		}
		if len(addrs) == 0 {
			return nil, finalError{call.Final{
				Outcome: call.NotRun, Reason: call.ReasonUnavailable,
				Detail: "no entry is live", RetryAfter: time.Second,
			}}
		}
		return locateResponse{q.service, addrs, ttl}, nil
	}
}

func decodeLocate(_ context.Context, r *http.Request) (any, error) {
	name := r.URL.Query().Get("service")
	if name == "" {
		return nil, malformed("service: found nothing, expected the name of a service, such as /v1/locate?service=gown-catalogue")
	}
	return locateRequest{name}, nil
}

func encodeLocate(_ context.Context, w http.ResponseWriter, response any) error {
	a := response.(locateResponse)
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(struct {
		Service   string   `json:"service"`
		Addresses []string `json:"addresses"`
		TTL       int64    `json:"ttl"` // milliseconds
	}{a.service, a.addresses, a.ttl.Milliseconds()})
}
