package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/member"
)

var errNoPeer = errors.New("no live peer is known")

// relay propagates changes between the workers: the settings in force and the
// live entries to the control loop, and this entry's settings revision and
// readiness to membership. It also pulls newer settings from peers.
type relay struct {
	entry               *Entry
	pulls               chan string // address of a peer with newer settings
	advertisedRevisions member.Revisions
	advertisedReady     bool
}

// readyPeriod is how often the entry checks whether it is ready.
const readyPeriod = 200 * time.Millisecond

func newRelay(e *Entry) *relay { return &relay{entry: e, pulls: make(chan string, 1)} }

func (r *relay) String() string { return "relay" }

// requestPull requests a pull from the peer at an address, which has newer
// settings. It drops the request if another is queued: gossip rounds repeat it.
func (r *relay) requestPull(address string) {
	select {
	case r.pulls <- address:
	default:
	}
}

// Serve runs until ctx ends.
func (r *relay) Serve(ctx context.Context) error {
	e := r.entry
	tick := time.NewTicker(readyPeriod)
	defer tick.Stop()
	r.sendDocument(ctx)
	r.sendMembers(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.settings.Changed():
			r.sendDocument(ctx)
		case <-e.members.Changes():
			r.sendMembers(ctx)
		case address := <-r.pulls:
			if err := e.settingsSync().pull(ctx, address); err != nil {
				e.log.WithError(err).Warn("cannot pull newer settings from a peer")
			}
		case <-tick.C:
		}
		r.advertise(ctx)
	}
}

func (r *relay) sendDocument(ctx context.Context) {
	r.entry.control.enqueue(ctx, documentChanged{*r.entry.settings.Document()})
}

func (r *relay) sendMembers(ctx context.Context) {
	r.entry.control.enqueue(ctx, membersChanged{r.entry.members.Serving()})
}

// advertise tells membership when the settings revision changes and when the entry
// becomes ready. Membership gossips both to the other entries.
func (r *relay) advertise(ctx context.Context) {
	e := r.entry
	revisions := member.Revisions{Settings: e.settings.Document().Revision}
	if revisions != r.advertisedRevisions && e.members.SetRevisions(ctx, revisions) == nil {
		r.advertisedRevisions = revisions
	}
	if !r.advertisedReady && e.Ready() && e.members.SetReady(ctx) == nil {
		r.advertisedReady = true
	}
}
