package settings

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Client is an operator's client of Handler.
type Client struct {
	Addr string // host:port of an entry's listener for operators
}

// Attempts of a call, the delay between them and the timeout of one attempt. A
// retried edit has the same ID, so it is not applied twice when only its response
// was lost.
const (
	clientAttempts   = 3
	clientRetryDelay = 300 * time.Millisecond
	clientTimeout    = editTimeout + 2*time.Second
)

// ResponseError is a response with a status other than 200.
type ResponseError struct {
	Status  int // HTTP status
	Message string
}

// Error returns the entry's message.
func (r *ResponseError) Error() string { return r.Message }

// Get returns the values in effect at a node.
func (c Client) Get(ctx context.Context, path string) (Node, error) {
	var j nodeJSON
	err := c.call(ctx, http.MethodGet, "get?path="+url.QueryEscape(path), nil, &j)
	return nodeFromJSON(j), err
}

// Document returns the document in force at the entry.
func (c Client) Document(ctx context.Context) (tree.Document, error) {
	var raw json.RawMessage
	if err := c.call(ctx, http.MethodGet, "document", nil, &raw); err != nil {
		return tree.Document{}, err
	}
	return tree.Decode(raw)
}

// History returns the last n edits, oldest first.
func (c Client) History(ctx context.Context, n int) (edits []tree.Edit, err error) {
	var j historyJSON
	err = c.call(ctx, http.MethodGet, "history?count="+strconv.Itoa(n), nil, &j)
	for _, e := range j.Edits {
		edits = append(edits, editFromJSON(e))
	}
	return edits, err
}

// Edit sends an edit. A nil base selects the revision in force at the entry.
func (c Client) Edit(ctx context.Context, e tree.Edit, base *uint64) (EditResult, error) {
	j := editRequestJSON{ID: e.ID, Author: e.Author, Base: base, Changes: changesToJSON(e.Changes)}
	return c.change(ctx, "edit", j)
}

// Diff returns the changes that a settings file would make.
func (c Client) Diff(ctx context.Context, p Proposal) (EditResult, error) {
	return c.change(ctx, "diff", proposalToJSON(p))
}

// Apply changes the whole tree to the state that a settings file describes.
func (c Client) Apply(ctx context.Context, p Proposal) (EditResult, error) {
	return c.change(ctx, "apply", proposalToJSON(p))
}

func proposalToJSON(p Proposal) proposalJSON {
	return proposalJSON{ID: p.ID, Author: p.Author, Base: p.Base, File: p.File, Text: string(p.Text)}
}

func (c Client) change(ctx context.Context, name string, body any) (EditResult, error) {
	var j editResultJSON
	err := c.call(ctx, http.MethodPost, name, body, &j)
	return EditResult{ID: j.ID, Revision: j.Revision, Changes: changesFromJSON(j.Changes)}, err
}

func (c Client) call(ctx context.Context, method, name string, body, into any) (err error) {
	defer func() { err = errors.WithMessage(err, "entry "+c.Addr) }()
	var payload []byte
	if body != nil {
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	for n := 1; ; n++ {
		err = c.attempt(ctx, method, name, payload, into)
		if n == clientAttempts || !shouldRetry(err) || wait(ctx, clientRetryDelay) != nil {
			return err
		}
	}
}

// shouldRetry reports whether a call that failed with err may succeed when retried.
func shouldRetry(err error) bool {
	var r *ResponseError
	if errors.As(err, &r) {
		return r.Status == http.StatusGatewayTimeout
	}
	return err != nil
}

func (c Client) attempt(ctx context.Context, method, name string, payload []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addr+"/v1/settings/"+name, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	resp, err := reply.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(b, into)
	}
	return responseError(resp.StatusCode, b)
}

func responseError(status int, body []byte) error {
	var j errorJSON
	if json.Unmarshal(body, &j) != nil || j.Error == "" {
		j.Error = fmt.Sprintf("found status %d, expected 200: %.200s", status, body)
	}
	return &ResponseError{Status: status, Message: j.Error}
}
