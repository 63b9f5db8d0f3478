package entry

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/internal/store"
)

// platformPeriod is the pause between reads of the VM list and the drains. At
// two reads a second 300 entries stay at 600 of the store's 2,000.
const platformPeriod = time.Second

// drainKind is the kind of the store's objects that drain a target: the name
// is the target's, the value its incarnation in decimal.
const drainKind = "drain"

// platformWorker reads the platform's lists and tells the control loop. While
// the platform is down the last lists stay in force.
type platformWorker struct {
	store   *store.Client
	control *control
	vms     []store.VM
	drained map[string]uint64
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
	if list, err := p.store.VMs(ctx); err == nil && !slices.Equal(list, p.vms) && p.control.tell(ctx, vmsListed{list}) {
		p.vms = list
	}
	if objects, _, err := p.store.List(ctx, drainKind); err == nil {
		p.readDrains(ctx, drains(objects))
	}
}

func (p *platformWorker) readDrains(ctx context.Context, targets map[string]uint64) {
	if !maps.Equal(targets, p.drained) && p.control.tell(ctx, drainsListed{targets}) {
		p.drained = targets
	}
}

// drains decodes the drain objects; one that can't be read drains nothing.
func drains(objects []store.Object) map[string]uint64 {
	targets := make(map[string]uint64, len(objects))
	for _, o := range objects {
		if boot, err := strconv.ParseUint(string(o.Value), 10, 64); err == nil {
			targets[o.Name] = boot
		}
	}
	return targets
}
