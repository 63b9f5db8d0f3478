package store

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrNotFound is returned when the object does not exist.
var ErrNotFound = errors.New("store: object not found")

// ErrConflict is returned when the object's version differs from the one that a
// conditional write expects.
type ErrConflict struct {
	Expected uint64
	Current  uint64 // 0 when the object does not exist
}

// Error returns a message with both versions.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("store: conflict: found version %d, expected %d", e.Current, e.Expected)
}

// Unavailable is returned when the store gave no usable response. A write may
// have taken effect unless NotSent is set.
type Unavailable struct {
	Cause   error
	NotSent bool // no request was sent to the store
}

// Error returns a message with the cause.
func (e *Unavailable) Error() string {
	return "store: unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Unavailable) Unwrap() error {
	return e.Cause
}

// IsConflict reports whether err is or wraps an ErrConflict.
func IsConflict(err error) bool {
	var c *ErrConflict
	return errors.As(err, &c)
}

// IsUnavailable reports whether err is or wraps an Unavailable.
func IsUnavailable(err error) bool {
	var u *Unavailable
	return errors.As(err, &u)
}
