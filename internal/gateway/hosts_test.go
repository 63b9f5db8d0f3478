package gateway

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
)

// Entries exchange messages all the time, most of them without a change. Publishing a view
// for each would take most of a small VM's CPU time among hundreds of entries and delay
// requests. A message that an entry is leaving must still take effect at once.
func TestUnchangedMessagesPublishFewViews(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	entries := startEntries(w, gossipFanOut+1)
	time.Sleep(4 * roundPeriod)
	a := entries[0]
	views, last := 0, a.view.Load()
	lastHeard := a.lastHeard()
	for began := time.Now(); time.Since(began) < 4*tickInterval; time.Sleep(time.Millisecond) {
		if v := a.view.Load(); v != last {
			views, last = views+1, v
		}
	}
	w.c.Assert(a.lastHeard().After(lastHeard), qt.IsTrue)
	w.c.Assert(views <= 6, qt.IsTrue, qt.Commentf("%d views in four periods", views))
	entries[1].control.enqueue(t.Context(), leaveStarted{})
	left := time.Now()
	w.waitFor("the leaving entry is not live", func() bool { return len(a.view.Load().live) == gossipFanOut })
	w.c.Assert(time.Since(left) < tickInterval/2, qt.IsTrue, qt.Commentf("%v", time.Since(left)))
}

// lastHeard returns when the entry last received a message from another one.
func (e *entry) lastHeard() time.Time {
	request := lastHeardRequest{make(chan time.Time, 1)}
	e.control.enqueue(e.w.c.Context(), request)
	return <-request.reply
}

type lastHeardRequest struct{ reply chan time.Time }

func (m lastHeardRequest) apply(_ time.Time, c *control) { m.reply <- c.members.LastReceived() }

// New configuration versions add routes with hardly any traffic, some of them to another
// service. The owners must not change: a new owner has no load data of the targets, and
// each moved caller needs a new connection.
func TestNewRoutesKeepOwners(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	entries := startEntries(w, 6)
	hosts := []string{"veil.example", "gown.example"}
	routes := []objects.Route{
		{Name: "r-a", Host: hosts[0], Prefix: "/a/", Timeout: "2s", TargetLatency: "1s", Attempts: 3, Service: "gowns"},
		{Name: "r-b", Host: hosts[1], Prefix: "/a/", Timeout: "2s", TargetLatency: "1s", Attempts: 3, Service: "veils"},
	}
	version := func() {
		w.version++
		w.store.PutConfig(w.version, routes, []string{"gowns", "veils"})
		for _, e := range entries {
			w.waitFor("the version in force", func() bool { return int(e.version()) == w.version })
		}
	}
	version()
	var before [][]string
	addresses := func(e *entry) (list [][]string) {
		for _, h := range hosts {
			list = append(list, e.view.Load().callerAddresses(h, "metro", e.self))
		}
		return list
	}
	before = addresses(entries[0])
	for i := range 4 {
		r := routes[i%2]
		r.Name, r.Prefix, r.Service = fmt.Sprint("idle", i), fmt.Sprintf("/idle%d/", i), []string{"gowns", "veils"}[(i+1)%2]
		routes = append(routes, r)
		version()
		for _, e := range entries {
			w.c.Assert(addresses(e), qt.DeepEquals, before)
		}
	}
}

// A host's request rate grows beyond the capacity of two owners. The first owner must
// raise the owner count, and all entries must arrive at the same owners.
func TestFirstOwnerDecidesOwnerCount(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	entries := startEntries(w, 5)
	first := func() string { return entries[0].view.Load().owners["veil.example"][0].Name }
	for _, e := range entries {
		e.control.enqueue(t.Context(), simulateLoad{first: first(), capacity: e.self.Capacity})
	}
	w.waitFor("more owners everywhere", func() bool {
		for _, e := range entries {
			if len(e.view.Load().owners["veil.example"]) < 3 {
				return false
			}
		}
		return true
	})
	for _, e := range entries {
		w.c.Assert(e.view.Load().owners["veil.example"], qt.DeepEquals, entries[0].view.Load().owners["veil.example"])
	}
}

// simulateLoad sets the host's rate at the first owner to four times an entry's capacity,
// and changes nothing at other entries.
type simulateLoad struct {
	first    string
	capacity float64
}

func (b simulateLoad) apply(_ time.Time, c *control) {
	if c.gateway.self.Name == b.first {
		// The moving average then decays to the real rate.
		c.hosts.rates["veil.example"].mean = 4 * b.capacity
	}
}
