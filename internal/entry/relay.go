package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/member"
)

var errNoPeer = errors.New("no live peer is known")

// relay carries changes between the workers: settings in force and members to
// the control loop, revisions to membership, and documents that peers have and
// this entry lacks.
type relay struct {
	entry *Entry
	fetch chan string // peers with newer documents
	marks member.Marks
	ready bool // which membership has been told
}

// readyPeriod is how often the entry looks whether it is ready.
const readyPeriod = 200 * time.Millisecond

func newRelay(e *Entry) *relay { return &relay{entry: e, fetch: make(chan string, 1)} }

func (r *relay) String() string { return "relay" }

// behind notes that the peer at an address has newer documents. While a fetch
// waits another is not needed: rounds repeat the word.
func (r *relay) behind(address string) {
	select {
	case r.fetch <- address:
	default:
	}
}

// Serve runs until ctx ends.
func (r *relay) Serve(ctx context.Context) error {
	e := r.entry
	tick := time.NewTicker(readyPeriod)
	defer tick.Stop()
	r.document(ctx)
	r.membership(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.settings.Changed():
			r.document(ctx)
		case <-e.members.Changes():
			r.membership(ctx)
		case address := <-r.fetch:
			if err := e.documents().fetch(ctx, address); err != nil {
				e.log.WithError(err).Warn("documents of a peer")
			}
		case <-tick.C:
		}
		r.revised(ctx)
	}
}

func (r *relay) document(ctx context.Context) {
	r.entry.control.tell(ctx, documentChanged{*r.entry.settings.Document()})
}

func (r *relay) membership(ctx context.Context) {
	r.entry.control.tell(ctx, membersChanged{r.entry.members.Serving()})
}

// revised tells membership of what is new of this entry, so that others hear of
// it in its rounds.
func (r *relay) revised(ctx context.Context) {
	e := r.entry
	marks := member.Marks{Settings: e.settings.Document().Revision}
	if marks != r.marks && e.members.Revised(ctx, marks) == nil {
		r.marks = marks
	}
	if !r.ready && e.Ready() && e.members.Ready(ctx) == nil {
		r.ready = true
	}
}
