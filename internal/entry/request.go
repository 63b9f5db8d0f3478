package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/pkg/account"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/tree"
)

// callPrefix starts the path of a request: /v1/call/{service}/{path at the target}.
const callPrefix = "/v1/call/"

// request is a caller's request while the entry handles it.
type request struct {
	incoming          *http.Request
	service           *service
	policy            *tree.Policy
	path              string // sent to the target, escaped
	arrived           time.Time
	deadline          time.Time
	body              []byte
	stream            io.Reader // set instead of body if the body is streamed
	upload            *callerBody
	guard             *guard.Guard // of the memory for what is buffered of the body
	header            call.Header
	key               string           // of a non-idempotent request
	account           *account.Account // nil without accounts, or without a key for a public service
	omit              []string         // headers and trailers that no target receives
	cachedFingerprint uint64           // computed on first use; 0 is not computed
}

// decodeRequest reads a request for a service: its account, its headers, its key and, if
// it is short, its body.
func (e *Entry) decodeRequest(_ context.Context, r *http.Request) (any, error) {
	now := time.Now()
	name, path := splitPath(r.URL.EscapedPath())
	s := e.snapshot.Load()
	sv, ok := s.services[name]
	if !ok {
		return nil, unknownService(name)
	}
	q := &request{incoming: r, service: sv, policy: sv.policy.Load(), path: path, arrived: now, guard: e.guard}
	if err := q.readAccount(s.accounts); err != nil {
		return nil, err
	}
	if err := q.readHeaders(now); err != nil {
		return nil, err
	}
	if err := q.readKey(); err != nil {
		return nil, err
	}
	if err := q.readBody(); err != nil {
		return nil, err
	}
	return q, nil
}

// splitPath splits /v1/call/service/rest into the service and /rest.
func splitPath(escaped string) (service, path string) {
	service, path, _ = strings.Cut(strings.TrimPrefix(escaped, callPrefix), "/")
	return service, "/" + path
}

// fingerprint returns a hash that identifies equal requests. It ignores a
// streamed body, which isn't buffered, except for a keyed request, whose body
// prefix and length are included.
func (q *request) fingerprint() uint64 {
	if q.cachedFingerprint == 0 {
		q.cachedFingerprint = q.computeFingerprint(call.BodyHash(q.body))
	}
	return q.cachedFingerprint
}

// computeFingerprint hashes the request with the given hash of its body.
func (q *request) computeFingerprint(body uint64) uint64 {
	return call.Fingerprint(q.service.name, q.incoming.Method, q.path, q.incoming.URL.RawQuery, body)
}

// idempotent reports whether the policy declares the method idempotent.
func (q *request) idempotent() bool {
	for _, m := range q.policy.Idempotent {
		if m == q.incoming.Method {
			return true
		}
	}
	return false
}

func (e *Entry) requestEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, r any) (any, error) {
		q := r.(*request)
		if q.key != "" {
			return e.serveKeyed(ctx, q)
		}
		return e.serve(ctx, q)
	}
}

// serve runs the request and returns the target's response or a finalError.
func (e *Entry) serve(ctx context.Context, q *request) (*openResponse, error) {
	p, final := e.runRequest(ctx, q)
	if p == nil {
		return nil, finalError{final}
	}
	return p, nil
}

// runRequest executes a request until its deadline. The context of a returned
// response is cancelled by its release.
func (e *Entry) runRequest(ctx context.Context, q *request) (p *openResponse, final call.Final) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer func() {
		if p == nil {
			cancel()
		}
	}()
	p, final = newDispatcher(ctx, e, q).run()
	if p != nil {
		p.cancel = cancel
	}
	return p, final
}

// openResponse is a response that is being copied to the caller and still holds
// its target's slot.
type openResponse struct {
	dispatcher *dispatcher
	dispatch   *dispatch
	response   *forward.Response
	ticket     ticket
	cancel     context.CancelFunc
	finished   bool
	replay     *claim.Response // recorded response; the other fields are unset
}

func encodeResponse(_ context.Context, w http.ResponseWriter, response any) error {
	o := response.(*openResponse)
	if o.replay != nil {
		writeReplay(w, o.replay)
		return nil
	}
	defer o.release()
	forward.Copy(w, o.response, o.finish)
	return nil
}
