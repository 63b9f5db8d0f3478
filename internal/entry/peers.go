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
type documents struct {
	settings *settings.Settings
	client   *peer.Client
}

// Since returns the changes after a revision, for a peer that has that revision.
func (d documents) Since(_ context.Context, revision uint64) (change peer.Change, err error) {
	s := d.settings.Since(revision)
	return peer.Change{Revision: s.Revision, Document: s.Document, Edits: s.Edits}, nil
}

// pullTimeout limits one pull.
const fetchTime = 3 * time.Second

// pull gets newer settings from a peer. If the peer's edits don't connect to this
// entry's revision, it pulls the whole document.
func (d documents) fetch(ctx context.Context, address string) (err error) {
	defer func() { err = errors.WithMessagef(err, "pull settings from %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	err = d.fetchSince(ctx, address, d.settings.Document().Revision)
	if errors.Is(err, tree.ErrGap) {
		err = d.fetchSince(ctx, address, 0)
	}
	return err
}

func (d documents) fetchSince(ctx context.Context, address string, revision uint64) error {
	change, err := d.client.Settings(ctx, address, revision)
	if err != nil {
		return err
	}
	return d.settings.Offer(ctx, settings.Change{Revision: change.Revision, Document: change.Document, Edits: change.Edits})
}
