package entry

import (
	"context"
	"slices"
	"time"

	"plumpitch.example/plumpitch/internal/store"
)

// platformPeriod is the pause between reads of the VM list and the drains. At
// two reads a second 300 entries stay at 600 of the store's 2,000.
const platformPeriod = time.Second

// platformWorker reads the platform's lists and tells the control loop. While
// the platform is down the last lists stay in force.
type platformWorker struct {
	store   *store.Client
	control *control
	vms     []store.VM
	drained drained
	known   bool // drained has been read
}

// Serve runs until ctx ends.
func (p *platformWorker) Serve(ctx context.Context) error {
	tick := time.NewTicker(platformPeriod)
	defer tick.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (p *platformWorker) String() string { return "platform" }

func (p *platformWorker) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformPeriod)
	defer cancel()
	if objects, _, err := p.store.List(ctx, drainKind); err == nil {
		p.readDrains(ctx, drains(objects))
	}
	if !p.known {
		// An entry that starts must not send to a place that the others have left.
		return
	}
	if list, err := p.store.VMs(ctx); err == nil && !slices.Equal(list, p.vms) && p.control.tell(ctx, vmsListed{list}) {
		p.vms = list
	}
}

func (p *platformWorker) readDrains(ctx context.Context, d drained) {
	p.known = true
	if !d.equal(p.drained) && p.control.tell(ctx, drainsListed{d}) {
		p.drained = d
	}
}
