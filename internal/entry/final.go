package entry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/pkg/call"
)

// finalError is a final response: one that plumpitch generates itself in place of
// a target's.
type finalError struct {
	final call.Final
}

func (e finalError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.final.Outcome, e.final.Reason, e.final.Detail)
}

func malformed(detail string) error {
	return finalError{call.Final{Outcome: call.NotRun, Reason: call.ReasonMalformed, Detail: detail}}
}

func unknownService(name string) error {
	return finalError{call.Final{
		Outcome: call.NotRun, Reason: call.ReasonMalformed, Status: http.StatusNotFound,
		Detail: fmt.Sprintf("service: found %q, expected a service of the settings tree", name),
	}}
}

func noSuchPath(path string) error {
	return finalError{call.Final{
		Outcome: call.NotRun, Reason: call.ReasonMalformed, Status: http.StatusNotFound,
		Detail: fmt.Sprintf("path: found %.100q, expected %s or %sSERVICE/PATH", path, locatePath, callPrefix),
	}}
}

func badMethod(method string) error {
	return finalError{call.Final{
		Outcome: call.NotRun, Reason: call.ReasonMalformed, Status: http.StatusMethodNotAllowed,
		Detail: fmt.Sprintf("method: found %.20q, expected GET", method),
	}}
}

// encodeError writes an endpoint's error as a final response. An error that isn't a
// finalError gets outcome Unknown, since it may have occurred after a dispatch.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	var fe finalError
	if !errors.As(err, &fe) {
		fe.final = call.Final{Outcome: call.Unknown, Reason: call.ReasonPanic, Detail: err.Error()}
	}
	forward.Refuse(w, fe.final)
}
