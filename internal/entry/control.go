package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/pool"
	"plumpitch.example/plumpitch/pkg/probe"
	"plumpitch.example/plumpitch/pkg/tree"
)

// maxInbox bounds the messages that wait for the control loop.
const maxInbox = 256

// message is something that the control loop has to know. The set is closed.
type message interface {
	apply(now time.Time, c *control)
}

// control is the one owner of what the traffic side reads as a site. Workers
// send it typed messages; after each batch it replaces the snapshot.
type control struct {
	entry    *Entry
	inbox    chan message
	site     *atomic.Pointer[site]
	document tree.Document
	vms      []store.VM
	listed   bool // vms is known
	live     []member.Entry
	drained  drained // by operators
	services map[string]*service
	leaving  bool // this entry stops: locate no longer names it
}

func newControl(e *Entry) *control {
	return &control{
		entry:    e,
		inbox:    make(chan message, maxInbox),
		site:     &e.site,
		document: tree.New(),
		live:     []member.Entry{e.self()},
	}
}

// tell hands a message to the control loop and tells whether it was taken. It
// waits while the inbox is full and gives up when ctx ends.
func (c *control) tell(ctx context.Context, m message) bool {
	select {
	case c.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// Serve runs until ctx ends. Its state outlives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.take(m)
		}
	}
}

// take applies a message and all that wait behind it, then publishes once.
func (c *control) take(m message) {
	now := time.Now()
	m.apply(now, c)
	for {
		select {
		case m = <-c.inbox:
			m.apply(now, c)
		default:
			if err := c.publish(now); err != nil {
				c.entry.log.WithError(err).Error("settings not applied")
			}
			return
		}
	}
}

// publish brings the services in line with what is known and replaces the
// snapshot.
func (c *control) publish(now time.Time) (err error) {
	defer func() { err = errors.WithMessage(err, "control") }()
	services := make(map[string]*service)
	for _, want := range c.document.Services() {
		sv, err := c.service(now, want)
		if err != nil {
			return err
		}
		sv.targets(now, c.targetsOf(want))
		sv.grant(now, c.share(want))
		services[want.Name] = sv
	}
	for name, sv := range c.services {
		if services[name] == nil {
			sv.close()
		}
	}
	c.services = services
	c.site.Store(&site{revision: c.document.Revision, services: services, live: c.named(), listed: c.listed})
	return nil
}

// share is this entry's part among the home entries of a service. An entry that
// serves it only by a stale locate answer probes nothing.
func (c *control) share(want tree.Service) probe.Share {
	homes := member.Homes(c.named(), want.Name, want.Policy.Entries)
	for rank, m := range homes {
		if m.ID.Name == c.entry.cfg.File.Name {
			return probe.Share{Rank: rank, Of: len(homes)}
		}
	}
	return probe.Share{}
}

// named are the entries that locate may name: those that are ready, while one
// of them is live. An entry that boots while the platform is down knows no target
// and would refuse every caller that is sent to it.
func (c *control) named() (named []member.Entry) {
	for _, m := range c.others() {
		if m.Ready {
			named = append(named, m)
		}
	}
	if len(named) == 0 {
		return c.others()
	}
	return named
}

// others are the live entries, but for this one when it is leaving.
func (c *control) others() []member.Entry {
	if !c.leaving {
		return c.live
	}
	var others []member.Entry
	for _, m := range c.live {
		if m.ID.Name != c.entry.cfg.File.Name {
			others = append(others, m)
		}
	}
	return others
}

func (c *control) service(now time.Time, want tree.Service) (s *service, err error) {
	if s = c.services[want.Name]; s != nil {
		return s, s.configure(now, want.Policy)
	}
	return newService(serviceConfig{
		Name:    want.Name,
		Policy:  want.Policy,
		Metrics: newServiceMetrics(c.entry.metrics, want.Name),
		Probe:   c.entry.probe,
		Left:    c.entry.left,
	})
}

// targetsOf picks the VMs of a service in its places.
func (c *control) targetsOf(want tree.Service) (list []pool.Target) {
	for _, vm := range c.vms {
		if vm.Service != want.Name || !inPlaces(want.Policy.Places, vm.Place) {
			continue
		}
		t := pool.Target{ID: vm.ID, Boot: vm.Boot, Addr: vm.Addr, Place: vm.Place, Slots: vm.Slots, Evacuated: c.drained.places[vm.Place]}
		if vm.State == store.Leaving || c.drained.has(vm) {
			t.State = pool.Leaving
		}
		list = append(list, t)
	}
	return list
}

func inPlaces(places []string, place string) bool {
	return len(places) == 0 || slices.Contains(places, place)
}
