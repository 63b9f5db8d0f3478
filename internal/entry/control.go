package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/ring"
	"plumpitch.example/plumpitch/pkg/tree"
)

// vmPeriod is the pause between reads of the VM list.
const vmPeriod = time.Second

// control is the one owner of what the traffic side reads as a site. It takes
// settings, the VM list and the membership, and replaces the snapshot.
type control struct {
	entry    *Entry
	store    *store.Client
	document tree.Document
	vms      []store.VM
	live     []ring.Member
	services map[string]*service
}

// Serve runs until ctx ends.
func (c *control) Serve(ctx context.Context) error {
	poll := time.NewTicker(vmPeriod)
	defer poll.Stop()
	c.poll(ctx)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
			c.poll(ctx)
		}
	}
}

func (c *control) poll(ctx context.Context) {
	if o, err := c.store.Get(ctx, "settings", "tree"); err == nil {
		if d, err := tree.Parse("settings/tree", o.Value); err == nil {
			d.Revision = o.Version
			c.document = d
		}
	}
	if list, err := c.store.VMs(ctx); err == nil {
		c.vms = list
	}
	if err := c.apply(time.Now()); err != nil {
		c.entry.log.WithError(err).Error("settings not applied")
	}
}

// apply brings the services in line with what is known and publishes the
// snapshot.
func (c *control) apply(now time.Time) (err error) {
	defer func() { err = errors.WithMessage(err, "control") }()
	services := make(map[string]*service)
	for _, want := range c.document.Services() {
		sv, err := c.service(now, want)
		if err != nil {
			return err
		}
		sv.targets(now, targetsOf(c.vms, want))
		services[want.Name] = sv
	}
	for name, sv := range c.services {
		if services[name] == nil {
			sv.close()
		}
	}
	c.services = services
	c.entry.site.Store(&site{revision: c.document.Revision, services: services, live: c.live})
	return nil
}

func (c *control) service(now time.Time, want tree.Target) (s *service, err error) {
	if s = c.services[want.Name]; s != nil {
		return s, s.configure(now, want.Policy)
	}
	return newService(serviceConfig{
		Name:    want.Name,
		Policy:  want.Policy,
		Metrics: c.entry.metrics.service(want.Name),
		Probe:   c.entry.probe,
		Left:    c.entry.left,
	})
}

// targetsOf picks the VMs of a service in its places.
func targetsOf(vms []store.VM, want tree.Target) (list []pool.Target) {
	for _, vm := range vms {
		if vm.Service != want.Name || !inPlaces(want.Policy.Places, vm.Place) {
			continue
		}
		t := pool.Target{ID: vm.ID, Boot: vm.Boot, Addr: vm.Addr, Place: vm.Place, Slots: vm.Slots}
		if vm.State == store.Leaving {
			t.State = pool.Leaving
		}
		list = append(list, t)
	}
	return list
}

func inPlaces(places []string, place string) bool {
	if len(places) == 0 {
		return true
	}
	for _, p := range places {
		if p == place {
			return true
		}
	}
	return false
}
