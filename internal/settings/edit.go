package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Uncertain is returned when a write was sent but its outcome could not be
// determined in time. Sending the same edit again, with the same ID, returns the
// outcome.
type Uncertain struct {
	ID    string
	Cause error
}

// Error returns a message with the edit's ID and the cause.
func (u *Uncertain) Error() string {
	return fmt.Sprintf("edit %s may have been accepted, the store does not answer; send it again under its id: %v", u.ID, u.Cause)
}

// Corrupt is returned when the value in the store is not a valid document.
type Corrupt struct {
	Version uint64
	Cause   error
}

// Error returns a message with the version and the cause.
func (c *Corrupt) Error() string {
	return fmt.Sprintf("the store's value of version %d is refused: %v", c.Version, c.Cause)
}

// TooLarge is returned when a document exceeds MaxSize.
type TooLarge struct {
	Size int // bytes
}

// Error returns a message with both sizes.
func (t *TooLarge) Error() string {
	return fmt.Sprintf("settings document: found %d bytes, expected at most %d", t.Size, MaxSize)
}

// editRetryDelay is the upper bound of the delay between attempts of an edit; the
// lower bound is half of it.
const editRetryDelay = 200 * time.Millisecond

// Edit writes an edit to the store and brings it into force at this entry. The
// errors are those of tree.Document.Apply, and *Uncertain, *Corrupt, *TooLarge and
// *store.Unavailable. Only *Uncertain leaves it unknown whether the edit was accepted.
func (s *Settings) Edit(ctx context.Context, e tree.Edit) (accepted tree.Edit, err error) {
	select {
	case s.editSlot <- struct{}{}:
		defer func() { <-s.editSlot }()
	case <-ctx.Done():
		return tree.Edit{}, &store.Unavailable{Cause: ctx.Err(), NotSent: true}
	}
	a := pendingEdit{settings: s, edit: e}
	for {
		accepted, err = a.tryOnce(ctx)
		if err == nil || rejected(err) {
			return accepted, err
		}
		if !retriable(err) || s.cfg.Wait(ctx, s.jitter(editRetryDelay)) != nil {
			return tree.Edit{}, a.finalError(err)
		}
	}
}

// rejected reports whether err means that the document rejects the edit, so that no
// earlier write of it can still take effect.
func rejected(err error) bool {
	return errors.As(err, new(*tree.Conflict)) || errors.As(err, new(*tree.StaleBase)) ||
		errors.As(err, new(*tree.FutureBase)) || errors.As(err, new(*tree.ReusedID)) ||
		errors.As(err, new(*tree.DroppedEdit)) || errors.As(err, new(tree.Problems))
}

// retriable reports whether a new attempt, which reads the store again, may succeed.
func retriable(err error) bool {
	return store.IsConflict(err) || store.IsUnavailable(err)
}

// pendingEdit is an edit that is being written to the store.
type pendingEdit struct {
	settings       *Settings
	edit           tree.Edit
	outcomeUnknown bool // a write with an unknown outcome was sent
}

// tryOnce reads the store, applies the edit to the newest document and writes the
// result.
//
// The response to a write can be lost after the write took effect. If that were
// reported as a failure, the operator would send the edit twice, or believe it lost
// while it is in force. Reading the document again resolves this: if the edit was
// accepted, its ID is in the document's log. If the ID is missing, the earlier
// write can still take effect only on the version that the next write expects, so
// at most one of the two writes succeeds.
func (a *pendingEdit) tryOnce(ctx context.Context) (accepted tree.Edit, err error) {
	s := a.settings
	o, d, result, err := s.read(ctx)
	if err != nil {
		return tree.Edit{}, err
	}
	base := *s.Document()
	if result == tree.Diverged {
		base = s.mergeHistories(d, base)
	}
	next, accepted, err := base.Apply(a.edit, s.cfg.Now())
	if err != nil || next.Revision == base.Revision && result != tree.Diverged {
		return accepted, err
	}
	value := tree.Encode(next)
	if len(value) > MaxSize {
		return tree.Edit{}, &TooLarge{Size: len(value)}
	}
	if _, err = s.cfg.Store.Put(ctx, Kind, Name, o.Version, value); err != nil {
		a.noteFailedWrite(err)
		return tree.Edit{}, err
	}
	_, _ = s.submit(ctx, next, true) // if ctx is done, the watch delivers the document
	return accepted, nil
}

// noteFailedWrite sets outcomeUnknown if the failed write may have taken effect.
func (a *pendingEdit) noteFailedWrite(err error) {
	var u *store.Unavailable
	if errors.As(err, &u) && !u.NotSent {
		a.outcomeUnknown = true
	}
}

func (a *pendingEdit) finalError(err error) error {
	if a.outcomeUnknown {
		return &Uncertain{ID: a.edit.ID, Cause: err}
	}
	return err
}
