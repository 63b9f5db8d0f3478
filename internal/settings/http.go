package settings

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// maxBody is the maximum size of a request or response body in bytes.
const maxBody = 2 << 20

// defaultHistory is the number of edits that history returns by default.
const defaultHistory = 20

// Handler returns the handler of the operators' JSON API:
//
//	GET  /v1/settings/get?path=P       values in effect at a node, and the origin of each
//	GET  /v1/settings/document         the whole document in its stored form
//	GET  /v1/settings/history?count=N  the last N edits
//	POST /v1/settings/edit             applies an edit
//	POST /v1/settings/diff             returns the changes that a settings file would make
//	POST /v1/settings/apply            changes the whole tree to the state in a settings file
//
// An error response is {"error"}, with "problems" for status 422, and with "mine"
// and "theirs" for a conflict, status 409. Status 504 means that it is unknown
// whether the edit was accepted.
func Handler(s *Settings) http.Handler {
	m := http.NewServeMux()
	m.Handle("GET /v1/settings/get", call(s.getEndpoint(), decodePath, encodeNode))
	m.Handle("GET /v1/settings/document", call(s.documentEndpoint(), decodeNothing, encodeDocument))
	m.Handle("GET /v1/settings/history", call(s.historyEndpoint(), decodeCount, encodeHistory))
	m.Handle("POST /v1/settings/edit", call(s.editEndpoint(), decodeEditRequest, encodeEditResult))
	m.Handle("POST /v1/settings/diff", call(s.diffEndpoint(), decodeProposal, encodeEditResult))
	m.Handle("POST /v1/settings/apply", call(s.applyEndpoint(), decodeProposal, encodeEditResult))
	return m
}

func call(e endpoint.Endpoint, d kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) http.Handler {
	return kithttp.NewServer(e, d, enc, kithttp.ServerErrorEncoder(encodeError))
}

// badRequest is the error for a request that can't be decoded.
type badRequest struct{ err error }

func (b badRequest) Error() string { return b.err.Error() }

func decodeNothing(context.Context, *http.Request) (any, error) { return nil, nil }

func decodePath(_ context.Context, r *http.Request) (any, error) {
	if path := r.URL.Query().Get("path"); path != "" {
		return path, nil
	}
	return tree.Root, nil
}

func decodeCount(_ context.Context, r *http.Request) (any, error) {
	text := r.URL.Query().Get("count")
	if text == "" {
		return defaultHistory, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return nil, badRequest{errors.Errorf("count: found %q, expected a number from 1", text)}
	}
	return n, nil
}

func decodeEditRequest(_ context.Context, r *http.Request) (any, error) {
	var j editRequestJSON
	if err := decodeBody(r, &j); err != nil {
		return nil, err
	}
	e := tree.Edit{ID: j.ID, Author: j.Author, Changes: changesFromJSON(j.Changes)}
	return editRequest{edit: e, base: j.Base}, nil
}

func decodeProposal(_ context.Context, r *http.Request) (any, error) {
	var j proposalJSON
	if err := decodeBody(r, &j); err != nil {
		return nil, err
	}
	return Proposal{ID: j.ID, Author: j.Author, Base: j.Base, File: j.File, Text: []byte(j.Text)}, nil
}

func decodeBody(r *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return badRequest{errors.WithMessage(err, "body")}
	}
	return nil
}

func encodeNode(ctx context.Context, w http.ResponseWriter, v any) error {
	return kithttp.EncodeJSONResponse(ctx, w, nodeToJSON(v.(Node)))
}

func encodeDocument(_ context.Context, w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, err := w.Write(tree.Encode(v.(tree.Document)))
	return err
}

func encodeHistory(ctx context.Context, w http.ResponseWriter, v any) error {
	return kithttp.EncodeJSONResponse(ctx, w, historyToJSON(v.([]tree.Edit)))
}

func encodeEditResult(ctx context.Context, w http.ResponseWriter, v any) error {
	r := v.(EditResult)
	j := editResultJSON{ID: r.ID, Revision: r.Revision, Changes: changesToJSON(r.Changes)}
	return kithttp.EncodeJSONResponse(ctx, w, j)
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status(err))
	_ = json.NewEncoder(w).Encode(errorToJSON(err))
}

func status(err error) int {
	switch {
	case errors.As(err, new(badRequest)):
		return http.StatusBadRequest
	case errors.Is(err, tree.ErrNoNode):
		return http.StatusNotFound
	case errors.As(err, new(tree.Problems)), errors.As(err, new(*TooLarge)):
		return http.StatusUnprocessableEntity
	case rejected(err):
		return http.StatusConflict
	case errors.As(err, new(*Uncertain)):
		return http.StatusGatewayTimeout
	case store.IsUnavailable(err), errors.As(err, new(*Corrupt)):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
