package settings

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Uncertain says that a write was sent and its fate could not be read in time.
// The same edit sent again, by its ID, is told what became of it.
type Uncertain struct {
	ID    string
	Cause error
}

// Error names the edit and the cause.
func (u *Uncertain) Error() string {
	return fmt.Sprintf("edit %s may have been accepted, the store does not answer; send it again under its id: %v", u.ID, u.Cause)
}

// Corrupt says that the store's value is no valid document.
type Corrupt struct {
	Version uint64
	Cause   error
}

// Error names the version and the cause.
func (c *Corrupt) Error() string {
	return fmt.Sprintf("the store's value of version %d is refused: %v", c.Version, c.Cause)
}

// TooLong says that a document would not fit into the store.
type TooLong struct {
	Size int // bytes
}

// Error names both sizes.
func (t *TooLong) Error() string {
	return fmt.Sprintf("settings document: found %d bytes, expected at most %d", t.Size, MaxSize)
}

// editPause is the mean pause between attempts of an edit.
const editPause = 200 * time.Millisecond

// Edit has an edit accepted and brings it into force here. The errors are those
// of tree.Document.Apply, and *Uncertain, *Corrupt, *TooLong and
// *store.Unavailable; only *Uncertain leaves open whether it was accepted.
func (s *Settings) Edit(ctx context.Context, e tree.Edit) (accepted tree.Edit, err error) {
	select {
	case s.editing <- struct{}{}:
		defer func() { <-s.editing }()
	case <-ctx.Done():
		return tree.Edit{}, &store.Unavailable{Cause: ctx.Err(), Untouched: true}
	}
	a := attempt{settings: s, edit: e}
	for {
		accepted, err = a.once(ctx)
		if err == nil || decided(err) {
			return accepted, err
		}
		if !retriable(err) || s.cfg.Wait(ctx, s.between(editPause)) != nil {
			return tree.Edit{}, a.giveUp(err)
		}
	}
}

// decided tells whether the settings themselves refuse an edit, so that no
// write of it can take effect any more.
func decided(err error) bool {
	return errors.As(err, new(*tree.Conflict)) || errors.As(err, new(*tree.Stale)) ||
		errors.As(err, new(*tree.Ahead)) || errors.As(err, new(*tree.Reused)) ||
		errors.As(err, new(*tree.Dropped)) || errors.As(err, new(tree.Problems))
}

// retriable tells whether reading again may help.
func retriable(err error) bool {
	return store.IsConflict(err) || store.IsUnavailable(err)
}

// attempt is one edit on its way into the store.
type attempt struct {
	settings *Settings
	edit     tree.Edit
	open     bool // a write was sent whose fate is not known
}

// once reads the store, applies the edit to the newest document and writes it.
//
// The answer to a write can be lost after the write took effect. Taking that
// for a failure would have the operator send the edit twice, or believe it lost
// while it is in force. Reading is enough to tell: the edit's ID is in the log
// when it was accepted, and while it is not, the earlier write can only take
// effect on the version that the next write is conditional on as well.
func (a *attempt) once(ctx context.Context) (accepted tree.Edit, err error) {
	s := a.settings
	o, d, verdict, err := s.read(ctx)
	if err != nil {
		return tree.Edit{}, err
	}
	base := *s.Document()
	if verdict == tree.Diverged {
		base = s.join(d, base)
	}
	next, accepted, err := base.Apply(a.edit, s.cfg.Now())
	if err != nil || next.Revision == base.Revision && verdict != tree.Diverged {
		return accepted, err
	}
	value := tree.Encode(next)
	if len(value) > MaxSize {
		return tree.Edit{}, &TooLong{Size: len(value)}
	}
	if _, err = s.cfg.Store.Put(ctx, Kind, Name, o.Version, value); err != nil {
		a.note(err)
		return tree.Edit{}, err
	}
	_, _ = s.arrive(ctx, next, true) // if ctx is done, the watch brings it
	return accepted, nil
}

// note remembers that a write may have taken effect.
func (a *attempt) note(err error) {
	var u *store.Unavailable
	if errors.As(err, &u) && !u.Untouched {
		a.open = true
	}
}

func (a *attempt) giveUp(err error) error {
	if a.open {
		return &Uncertain{ID: a.edit.ID, Cause: err}
	}
	return err
}
