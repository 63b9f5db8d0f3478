package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
)

// operatorHandler serves the operators' listener.
func (e *Entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.metrics.Handler)
	mux.Handle("/v1/settings/", settings.Handler(e.settings))
	mux.Handle("GET /v1/status", operatorEndpoint(e.statusEndpoint()))
	mux.Handle("GET /v1/explain", operatorEndpoint(e.explainEndpoint()))
	mux.Handle("POST /v1/drain", operatorEndpoint(e.drainEndpoint(e.drain)))
	mux.Handle("POST /v1/undrain", operatorEndpoint(e.drainEndpoint(e.undrain)))
	mux.Handle("POST /v1/evacuate", operatorEndpoint(e.evacuateEndpoint(e.evacuate)))
	mux.Handle("POST /v1/restore", operatorEndpoint(e.evacuateEndpoint(e.restore)))
	return mux
}

// operatorEndpoint serves an endpoint whose request is the value of ?name=.
func operatorEndpoint(ep endpoint.Endpoint) http.Handler {
	decode := func(_ context.Context, r *http.Request) (any, error) { return r.URL.Query().Get("name"), nil }
	return kithttp.NewServer(ep, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeOperatorError))
}

// operatorError is an error with the HTTP status of its response.
type operatorError struct {
	status int
	err    error
}

func (o operatorError) Error() string { return o.err.Error() }

func encodeOperatorError(_ context.Context, err error, w http.ResponseWriter) {
	status := http.StatusInternalServerError
	var oe operatorError
	if errors.As(err, &oe) {
		status = oe.status
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{err.Error()})
}

// serveReady responds with status 200 while the entry is ready and isn't leaving.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.Ready():
		http.Error(w, "no settings or no ring yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// explainRow explains why the balancer would or wouldn't choose a target.
type explainRow struct {
	Target        string  `json:"target"`
	Chosen        bool    `json:"chosen"`
	Why           string  `json:"why"`
	InFlight      int     `json:"inflight"`
	Limit         int     `json:"limit"`
	OtherInFlight float64 `json:"foreign"`
	SlowEvidence  float64 `json:"slow"`
	FailEvidence  float64 `json:"fail"`
	Until         string  `json:"until,omitempty"`
}

func (e *Entry) explainEndpoint() endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		name := request.(string)
		sv, ok := e.snapshot.Load().services[name]
		if !ok {
			return nil, operatorError{http.StatusNotFound, errors.Errorf("name: found %q, expected a service of the settings tree", name)}
		}
		return sv.explain(time.Now()), nil
	}
}

func (s *service) explain(now time.Time) (rows []explainRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.balancer.Explain(now) {
		row := explainRow{r.Target, r.Chosen, r.Why, r.InFlight, r.Limit, r.OtherInFlight, r.SlowEvidence, r.FailEvidence, ""}
		if !r.Until.IsZero() {
			row.Until = r.Until.UTC().Format(time.RFC3339Nano)
		}
		rows = append(rows, row)
	}
	return rows
}

func (e *Entry) findVM(ctx context.Context, name string) (vm store.VM, err error) {
	list, err := e.store.VMs(ctx)
	if err != nil {
		return vm, err
	}
	for _, vm := range list {
		if vm.ID == name {
			return vm, nil
		}
	}
	return vm, operatorError{http.StatusNotFound, errors.Errorf("name: found %q, expected a target of the VM list", name)}
}
