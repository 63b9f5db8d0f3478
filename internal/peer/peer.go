// Package peer implements the peer protocol, by which entries exchange membership
// messages and settings: a twirp service over HTTP with keep-alive connections. It
// converts between wire types and domain types, checks versions, sizes and required
// fields, and counts calls and bytes by method.
//
// Every call is idempotent, so it may be repeated when its response is lost.
package peer

import (
	"fmt"

	"github.com/twitchtv/twirp"
)

// Supported versions of the peer protocol.
const (
	Version    = 1
	MinVersion = 1
)

// Maximum sizes of a message body in bytes.
const (
	MaxRequest = 4 << 20
	MaxReply   = 4 << 20
)

// FieldError reports an invalid value in a message.
type FieldError struct {
	Field    string
	Found    string
	Expected string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Field, e.Found, e.Expected)
}

func checkVersion(v uint32) error {
	if v >= MinVersion && v <= Version {
		return nil
	}
	e := &FieldError{
		Field:    "version",
		Found:    fmt.Sprint(v),
		Expected: fmt.Sprintf("%d to %d", MinVersion, Version),
	}
	return twirp.NewError(twirp.FailedPrecondition, e.Error())
}

// invalidArgument converts an error of a codec to a twirp error, whose text the caller
// receives.
func invalidArgument(err error) error {
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}

type field struct {
	name  string
	value string
}

func requireValues(fields ...field) error {
	for _, f := range fields {
		if f.value == "" {
			return &FieldError{Field: f.name, Found: "nothing", Expected: "a value"}
		}
	}
	return nil
}
