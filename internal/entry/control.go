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

// inboxSize is how many messages can be queued for the control loop.
const inboxSize = 256

// message changes the state of the control loop. All implementations are in
// message.go.
type message interface {
	apply(now time.Time, c *control)
}

// control is the control loop, the only owner of the state that the traffic side
// reads as a snapshot. Workers send it typed messages; after each batch it
// publishes a new snapshot.
type control struct {
	entry    *Entry
	inbox    chan message
	snapshot *atomic.Pointer[snapshot]
	document tree.Document
	vms      []store.VM
	vmsKnown bool // the VM list has been read
	live     []member.Entry
	drains   drainState
	services map[string]*service
	leaving  bool // this entry is stopping and is omitted from locate
}

func newControl(e *Entry) *control {
	return &control{
		entry:    e,
		inbox:    make(chan message, inboxSize),
		snapshot: &e.snapshot,
		document: tree.New(),
		live:     []member.Entry{e.self()},
	}
}

// enqueue puts a message into the inbox and reports whether it succeeded. It
// blocks while the inbox is full, until ctx ends.
func (c *control) enqueue(ctx context.Context, m message) bool {
	select {
	case c.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// Serve runs until ctx ends. The state survives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.processMessages(m)
		}
	}
}

// processMessages applies a message and all queued ones, then publishes once.
func (c *control) processMessages(m message) {
	now := time.Now()
	m.apply(now, c)
	for {
		select {
		case m = <-c.inbox:
			m.apply(now, c)
		default:
			if err := c.publish(now); err != nil {
				c.entry.log.WithError(err).Error("cannot apply the settings; the previous snapshot stays in force")
			}
			return
		}
	}
}

// publish updates the services to the current settings, VMs and live entries,
// and replaces the snapshot.
func (c *control) publish(now time.Time) (err error) {
	defer func() { err = errors.WithMessage(err, "control") }()
	accounts, err := c.document.Accounts()
	if err != nil {
		return err
	}
	services := make(map[string]*service)
	for _, want := range c.document.Services() {
		sv, err := c.ensureService(now, want)
		if err != nil {
			return err
		}
		sv.setTargets(now, c.targetsOf(want))
		sv.setProbeShare(now, c.probeShare(want))
		services[want.Name] = sv
	}
	for name, sv := range c.services {
		if services[name] == nil {
			sv.close()
		}
	}
	c.services = services
	c.snapshot.Store(&snapshot{revision: c.document.Revision, services: services, accounts: accounts, live: c.locatable(), vmsKnown: c.vmsKnown})
	return nil
}

// probeShare returns this entry's share of the probes of a service, which its
// preferred entries divide by rank. Any other entry receives requests for the
// service only through stale locate responses and doesn't probe.
func (c *control) probeShare(want tree.Service) probe.Share {
	preferred := member.PreferredEntries(c.locatable(), want.Name, want.Policy.Entries)
	for rank, m := range preferred {
		if m.ID.Name == c.entry.cfg.File.Name {
			return probe.Share{Rank: rank, Count: len(preferred)}
		}
	}
	return probe.Share{}
}

// locatable returns the entries that locate may return: the live entries that
// are ready or, if none is ready, all live entries. An entry that starts while
// the platform is down knows no targets and would refuse every request.
func (c *control) locatable() (ready []member.Entry) {
	for _, m := range c.remaining() {
		if m.Ready {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return c.remaining()
	}
	return ready
}

// remaining returns the live entries, without this one while it is leaving.
func (c *control) remaining() []member.Entry {
	if !c.leaving {
		return c.live
	}
	var remaining []member.Entry
	for _, m := range c.live {
		if m.ID.Name != c.entry.cfg.File.Name {
			remaining = append(remaining, m)
		}
	}
	return remaining
}

// ensureService returns the service of a name, configured by the given settings.
// It creates the service if it is new.
func (c *control) ensureService(now time.Time, want tree.Service) (s *service, err error) {
	if s = c.services[want.Name]; s != nil {
		return s, s.configure(now, want.Policy)
	}
	return newService(serviceConfig{
		Name:            want.Name,
		Policy:          want.Policy,
		Metrics:         newServiceMetrics(c.entry.metrics, want.Name),
		Probe:           c.entry.probe,
		AnnounceLeaving: c.entry.announceLeaving,
	})
}

// targetsOf returns the VMs of a service that are in its places, as targets. A
// VM that is drained by operators counts as leaving.
func (c *control) targetsOf(want tree.Service) (list []pool.Target) {
	for _, vm := range c.vms {
		if vm.Service != want.Name || !inPlaces(want.Policy.Places, vm.Place) {
			continue
		}
		t := pool.Target{ID: vm.ID, Boot: vm.Boot, Addr: vm.Addr, Place: vm.Place, Slots: vm.Slots, Evacuated: c.drains.places[vm.Place]}
		if vm.State == store.Leaving || c.drains.includes(vm) {
			t.State = pool.Leaving
		}
		list = append(list, t)
	}
	return list
}

func inPlaces(places []string, place string) bool {
	return len(places) == 0 || slices.Contains(places, place)
}
