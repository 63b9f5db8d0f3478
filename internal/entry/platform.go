package entry

import (
	"context"
	"slices"
	"time"

	"plumpitch.example/plumpitch/internal/store"
)

// platformPeriod is the interval between reads of the VM list and the drains. At
// two reads a second each, 300 entries make 600 of the 2,000 reads a second that
// the store handles.
const platformPeriod = time.Second

// platformWorker reads the VM list and the drains from the platform and sends
// changes to the control loop. While the platform is down, the last lists stay in
// force.
type platformWorker struct {
	store       *store.Client
	control     *control
	vms         []store.VM
	drains      drainState
	drainsKnown bool // drains have been read at least once
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
		p.readDrains(ctx, parseDrains(objects))
	}
	if !p.drainsKnown {
		// Without the drains, a starting entry would send requests to an
		// evacuated place.
		return
	}
	if list, err := p.store.VMs(ctx); err == nil && !slices.Equal(list, p.vms) && p.control.enqueue(ctx, vmsListed{list}) {
		p.vms = list
	}
}

func (p *platformWorker) readDrains(ctx context.Context, d drainState) {
	p.drainsKnown = true
	if !d.equal(p.drains) && p.control.enqueue(ctx, drainsListed{d}) {
		p.drains = d
	}
}
