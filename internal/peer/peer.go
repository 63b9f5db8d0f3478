// Package peer carries what entries say to each other: a twirp service over
// HTTP with keep-alive connections. It maps wire types to domain types by hand,
// checks versions, sizes and required fields, and counts bytes by kind.
//
// Every call is idempotent: a lost answer may be followed by the same call.
package peer

import (
	"fmt"

	"github.com/twitchtv/twirp"
)

// Versions of the peer protocol that this program speaks.
const (
	Version    = 1
	MinVersion = 1
)

// Limits of one message in bytes.
const (
	MaxRequest = 4 << 20
	MaxReply   = 4 << 20
)

// FieldError is a bad value in a message.
type FieldError struct {
	Field    string
	Found    string
	Expected string
}

// Error names the field, what was found and what was expected.
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

// invalid turns an error of a codec into one that the caller can read.
func invalid(err error) error {
	return twirp.NewError(twirp.InvalidArgument, err.Error())
}

type field struct {
	name  string
	value string
}

func require(fields ...field) error {
	for _, f := range fields {
		if f.value == "" {
			return &FieldError{Field: f.name, Found: "nothing", Expected: "a value"}
		}
	}
	return nil
}
