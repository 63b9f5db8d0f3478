package entry

import (
	"context"
	"net/http"

	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
)

// maxKeyBytes is the longest idempotency key that is accepted.
const maxKeyBytes = 255

// headerReplay marks a response that was recorded for an earlier request with the
// same key.
const headerReplay = "Plumpitch-Replay"

// readKey reads and checks the idempotency key of a non-idempotent request.
func (q *request) readKey() error {
	if q.idempotent() {
		return nil
	}
	values := q.incoming.Header.Values(call.HeaderKey)
	switch {
	case len(values) > 1:
		return malformed(call.HeaderKey + ": found several values, expected one")
	case len(values) == 0 || values[0] == "":
		if q.policy.RequireKey {
			return malformed(call.HeaderKey + ": found nothing, expected a key of at most 255 characters, best a UUID of version 7")
		}
		return nil
	case !validKey(values[0]):
		return malformed(call.HeaderKey + ": found a value that is too long or holds other than visible ASCII, expected at most 255 visible ASCII characters")
	}
	q.key = values[0]
	return nil
}

func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// serveKeyed runs a keyed non-idempotent request at most once. Once the claim is
// granted, the run continues even if the caller disconnects: its response is
// recorded, and the caller's retry gets it instead of an unknown outcome.
func (e *Entry) serveKeyed(ctx context.Context, q *request) (*openResponse, error) {
	ctx, span := e.tracing.start(ctx, "claim")
	defer span.End()
	r := keyedRun{entry: e, q: q}
	defer r.release()
	result := e.claims.Do(ctx, claims.Request{
		Service: q.service.name, Key: q.claimKey(), Fingerprint: q.fingerprint(), Deadline: q.deadline,
	}, func(context.Context) claim.RunResult { return r.run(context.WithoutCancel(ctx)) })
	switch {
	case result.Kind == claim.Fresh && r.response != nil:
		return r.takeResponse(), nil
	case result.Kind == claim.Replay && result.Response.Complete:
		return &openResponse{replay: &result.Response}, nil
	}
	return nil, finalError{q.withBodyError(finalOfClaim(result))}
}

// keyedRun is the run of a keyed request. Its response is closed by release unless
// takeResponse has returned it for copying to the caller.
type keyedRun struct {
	entry    *Entry
	q        *request
	response *openResponse
}

// run executes the request. It returns a panic as an outcome: without one, the
// key's record would show the request as in progress until it expires.
func (r *keyedRun) run(ctx context.Context) (result claim.RunResult) {
	defer func() {
		if v := recover(); v != nil {
			r.entry.logPanic(r.q.incoming.Header.Get(headerRequestID), v)
			result = claim.RunResult{Outcome: call.Unknown, Reason: claim.Reason(call.ReasonPanic)}
		}
	}()
	p, final := r.entry.runRequest(ctx, r.q)
	if p == nil {
		return claim.RunResult{Outcome: final.Outcome, Reason: claim.Reason(final.Reason), RetryAfter: final.RetryAfter}
	}
	r.response = p
	return claim.RunResult{Outcome: call.Ran, Response: recordedResponse(p.response)}
}

// takeResponse returns the response, which release then no longer closes.
func (r *keyedRun) takeResponse() (p *openResponse) {
	p, r.response = r.response, nil
	return p
}

func (r *keyedRun) release() {
	if r.response != nil {
		r.response.release()
	}
}

// finalOfClaim returns the final response for a claim's result that has no
// response to copy.
func finalOfClaim(r claim.Result) call.Final {
	f := call.Final{Outcome: call.Unknown, Reason: call.Reason(r.Reason), RetryAfter: r.RetryAfter}
	switch r.Kind {
	case claim.NotRun:
		f.Outcome = call.NotRun
	case claim.Conflict:
		f.Outcome, f.Status = call.NotRun, http.StatusUnprocessableEntity
		f.Detail = call.HeaderKey + ": found a key that belongs to another request, expected a key of its own"
	case claim.Replay:
		f.Outcome, f.Status = call.Ran, http.StatusConflict
		f.Detail = "the request ran; its answer was not kept, being too long or cut"
	}
	return f
}

// recordedResponse converts a response to the form in which a claim records it.
// The body of a streamed response isn't recorded.
func recordedResponse(r *forward.Response) claim.Response {
	out := claim.Response{Outcome: call.Ran, Status: r.Status, Complete: r.Body == nil, Body: r.Buffered}
	for name, values := range r.Header {
		for _, v := range values {
			out.Header = append(out.Header, claim.Field{Name: name, Value: v})
		}
	}
	return out
}

// writeReplay writes a recorded response.
func writeReplay(w http.ResponseWriter, r *claim.Response) {
	h := w.Header()
	for _, f := range r.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(headerReplay, "true")
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
