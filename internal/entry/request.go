package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/tree"
)

// callPrefix starts the path of a request: /v1/call/{service}/{path at the target}.
const callPrefix = "/v1/call/"

// request is a caller's request while the entry handles it.
type request struct {
	in       *http.Request
	service  *service
	policy   *tree.Policy
	path     string // sent to the target, escaped
	arrived  time.Time
	deadline time.Time
	body     []byte
	stream   io.Reader // set instead of body if the body is streamed
	upload   *callerBody
	header   call.Header
	key      string // of a non-idempotent request
	print    uint64 // computed on first use; 0 is not computed
}

// decodeRequest reads a request for a service: its headers, its key and, if it is
// short, its body.
func (e *Entry) decodeRequest(_ context.Context, r *http.Request) (any, error) {
	now := time.Now()
	name, path := splitPath(r.URL.EscapedPath())
	sv, ok := e.site.Load().services[name]
	if !ok {
		return nil, unknownService(name)
	}
	q := &request{in: r, service: sv, policy: sv.policy.Load(), path: path, arrived: now}
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
	if q.print == 0 {
		q.print = q.printOf(call.BodyHash(q.body))
	}
	return q.print
}

// computeFingerprint hashes the request with the given hash of its body.
func (q *request) printOf(body uint64) uint64 {
	return call.Fingerprint(q.service.name, q.in.Method, q.path, q.in.URL.RawQuery, body)
}

// idempotent reports whether the policy declares the method idempotent.
func (q *request) idempotent() bool {
	for _, m := range q.policy.Idempotent {
		if m == q.in.Method {
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
func (e *Entry) serve(ctx context.Context, q *request) (*passing, error) {
	p, final := e.drive(ctx, q)
	if p == nil {
		return nil, finalError{final}
	}
	return p, nil
}

// run executes the request until its deadline. The context of a returned
// response is cancelled by its release.
func (e *Entry) drive(ctx context.Context, q *request) (p *passing, final call.Final) {
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer func() {
		if p == nil {
			cancel()
		}
	}()
	p, final = newDrive(ctx, e, q).run()
	if p != nil {
		p.cancel = cancel
	}
	return p, final
}

// openResponse is a response that is being copied to the caller and still holds
// its target's slot.
type passing struct {
	drive  *drive
	began  time.Time
	answer *forward.Response
	ticket ticket
	cancel context.CancelFunc
	ended  bool
	replay *claim.Response // recorded response; the other fields are unset
}

func encodeAnswer(_ context.Context, w http.ResponseWriter, response any) error {
	o := response.(*passing)
	if o.replay != nil {
		writeReplay(w, o.replay)
		return nil
	}
	defer o.release()
	forward.Copy(w, o.answer, o.end)
	return nil
}
