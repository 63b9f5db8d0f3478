package forward

import (
	"fmt"
	"net/http"

	"plumpitch.example/plumpitch/pkg/call"
)

// Identity is what the request IDs in a response say about the request that it belongs to.
type Identity uint8

// Identities.
const (
	OwnID      Identity = iota // one ID, that of the request
	NoID                       // none
	SeveralIDs                 // more than one, equal or not
	OtherID                    // that of another request
)

var identityNames = [...]string{OwnID: "own", NoID: "none", SeveralIDs: "several", OtherID: "other"}

// String returns the one-word name of an identity.
func (i Identity) String() string { return identityNames[i] }

// StrayError is the cause of a failed dispatch whose response may belong to another request.
type StrayError struct {
	Status   int
	Identity Identity
}

// Error describes the ID of the response.
func (e *StrayError) Error() string {
	return fmt.Sprintf("response with status %d may belong to another request: id %s", e.Status, e.Identity)
}

// identify returns the identity of a response to the request with this ID.
func identify(h http.Header, name, id string) Identity {
	ids := h[name]
	switch {
	case len(ids) > 1:
		return SeveralIDs
	case len(ids) == 0 || ids[0] == "":
		return NoID
	case ids[0] != id:
		return OtherID
	}
	return OwnID
}

// idHeader returns the name of the header in which targets echo the request's ID.
func (d *dispatch) idHeader() string {
	if d.echoHeader != "" {
		return d.echoHeader
	}
	return call.HeaderRequest
}

// belongs reports whether a response with this identity is taken for that of the request.
// Without an ID, it may be a late response to another one. It is taken only if targets needn't
// echo the ID, or got none.
func (d *dispatch) belongs(i Identity) bool {
	return i == OwnID || i == NoID && (d.echoHeader == "" || d.id == "")
}
