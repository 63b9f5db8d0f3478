package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/tree"
)

// documents answers and asks for the two documents that peers hand on: the
// settings and the ring.
type documents struct {
	settings *settings.Settings
	claims   *claims.Claims
	client   *peer.Client
}

// Since gives what a peer lacks.
func (d documents) Since(_ context.Context, have member.Marks) (ch peer.Change, err error) {
	s := d.settings.Since(have.Settings)
	ch = peer.Change{Revision: s.Revision, Document: s.Document, Edits: s.Edits}
	ch.Ring, err = d.claims.Newer(have.Ring)
	return ch, err
}

// fetchTime bounds the fetch of what this entry lacks.
const fetchTime = 3 * time.Second

// fetch takes from a peer what this entry lacks. A gap in the edits is closed
// by the whole document.
func (d documents) fetch(ctx context.Context, address string) (err error) {
	defer func() { err = errors.WithMessagef(err, "fetch from %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	have := member.Marks{Settings: d.settings.Document().Revision, Ring: d.claims.Ring().Revision}
	err = d.fetchSince(ctx, address, have)
	if errors.Is(err, tree.ErrGap) {
		have.Settings = 0
		err = d.fetchSince(ctx, address, have)
	}
	return err
}

func (d documents) fetchSince(ctx context.Context, address string, have member.Marks) error {
	ch, err := d.client.Settings(ctx, address, have)
	if err != nil {
		return err
	}
	if len(ch.Ring) > 0 {
		if err := d.claims.Offer(ch.Ring); err != nil {
			return err
		}
	}
	return d.settings.Offer(ctx, settings.Change{Revision: ch.Revision, Document: ch.Document, Edits: ch.Edits})
}
