package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/tree"
)

// documents answers and asks for what peers hand on: the settings.
type documents struct {
	settings *settings.Settings
	client   *peer.Client
}

// Since gives what a peer lacks.
func (d documents) Since(_ context.Context, revision uint64) (ch peer.Change, err error) {
	s := d.settings.Since(revision)
	return peer.Change{Revision: s.Revision, Document: s.Document, Edits: s.Edits}, nil
}

// fetchTime bounds the fetch of what this entry lacks.
const fetchTime = 3 * time.Second

// fetch takes from a peer what this entry lacks. A gap in the edits is closed
// by the whole document.
func (d documents) fetch(ctx context.Context, address string) (err error) {
	defer func() { err = errors.WithMessagef(err, "fetch from %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	err = d.fetchSince(ctx, address, d.settings.Document().Revision)
	if errors.Is(err, tree.ErrGap) {
		err = d.fetchSince(ctx, address, 0)
	}
	return err
}

func (d documents) fetchSince(ctx context.Context, address string, revision uint64) error {
	ch, err := d.client.Settings(ctx, address, revision)
	if err != nil {
		return err
	}
	return d.settings.Offer(ctx, settings.Change{Revision: ch.Revision, Document: ch.Document, Edits: ch.Edits})
}
