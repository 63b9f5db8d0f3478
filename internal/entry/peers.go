package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/tree"
)

// settingsSync exchanges settings with peers.
type settingsSync struct {
	settings *settings.Settings
	client   *peer.Client
}

// ChangesSince returns the changes after the revision that a peer has.
func (s settingsSync) ChangesSince(_ context.Context, revision uint64) (change peer.SettingsUpdate, err error) {
	c := s.settings.Since(revision)
	return peer.SettingsUpdate{Revision: c.Revision, Document: c.Document, Edits: c.Edits}, nil
}

// pullTimeout limits one pull.
const pullTimeout = 3 * time.Second

// pull gets newer settings from a peer. If the peer's edits don't connect to this
// entry's revision, it pulls the whole document.
func (s settingsSync) pull(ctx context.Context, address string) (err error) {
	defer func() { err = errors.WithMessagef(err, "pull settings from %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	err = s.pullSince(ctx, address, s.settings.Document().Revision)
	if errors.Is(err, tree.ErrHistoryMismatch) {
		err = s.pullSince(ctx, address, 0)
	}
	return err
}

func (s settingsSync) pullSince(ctx context.Context, address string, revision uint64) error {
	change, err := s.client.Settings(ctx, address, revision)
	if err != nil {
		return err
	}
	return s.settings.ApplyChange(ctx, settings.Change{Revision: change.Revision, Document: change.Document, Edits: change.Edits})
}
