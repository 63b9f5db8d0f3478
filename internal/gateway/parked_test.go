package gateway

import (
	"testing"
	"time"

	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

// parkedControl returns the control loop of an entry that does not run, so that the test
// controls which messages it receives and when.
func parkedControl(t *testing.T) *control {
	w := newWorld(t, worldConfig{})
	g := w.newGateway("parked", 1)
	t.Cleanup(g.relay.Close)
	t.Cleanup(g.closeListeners)
	return g.control
}

// addLive adds live entries to the control loop's membership.
func (c *control) addLive(now time.Time, names ...string) {
	var list []member.Entry
	for _, name := range names {
		list = append(list, peerEntry(name))
	}
	c.handleEvent(now, member.Fetched{Entries: list})
}

func peerEntry(name string) member.Entry {
	return member.Entry{
		ID: member.ID{Name: name, Boot: 1}, CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Place: "hall", Region: "metro",
		State: member.Alive, Sequence: 1,
	}
}

// messageFrom returns a message of a live entry.
func messageFrom(name string) member.Event {
	return member.Request{Message: member.Message{From: member.ID{Name: name, Boot: 1}}}
}

func item(name string, rev roster.Revision) roster.Item[slot.Target] {
	return roster.Item[slot.Target]{Name: name, Revision: rev, Value: slot.Target{ID: name, Service: "gowns", Slots: 2}}
}

func removed(name string, rev roster.Revision) roster.Change[slot.Target] {
	return roster.Change[slot.Target]{Item: roster.Item[slot.Target]{Name: name, Revision: rev}, Deleted: true}
}
