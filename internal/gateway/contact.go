package gateway

import (
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/pkg/member"
)

// contactState is how well this entry is in contact with the others.
type contactState uint8

const (
	contactUnknown contactState = iota // no other entry is known
	contactFull                        // all known entries are up
	contactPartial
	contactNone // all known entries seem dead
)

var contactNames = [...]string{"unknown", "full", "partial", "none"}

func (s contactState) String() string { return contactNames[s] }

func contactStateOf(n member.Contact) contactState {
	switch {
	case n.Known == 0:
		return contactUnknown
	case n.Up == 0:
		return contactNone
	case n.Up < n.Known:
		return contactPartial
	}
	return contactFull
}

// logContact logs changes of the contact with the other entries. An entry without contact
// knows neither their request rates nor the requests that crashed their targets.
func (c *control) logContact(now time.Time, n member.Contact) {
	state := contactStateOf(n)
	if state == c.logged.contact {
		return
	}
	fields := log.Fields{"contact": state.String(), "before": c.logged.contact.String(), "up": n.Up, "known": n.Known}
	if at := c.members.LastReceived(); !at.IsZero() {
		fields["silence"] = now.Sub(at).Milliseconds()
	}
	c.logged.contact = state
	c.gateway.log.WithFields(fields).Info("contact with other entries changed")
}

// updateContactGauges sets the gauges of the contact with the other entries.
func (c *control) updateContactGauges(n member.Contact) {
	i := &c.gateway.instruments
	i.knownEntries.Update(float64(n.Known))
	i.upEntries.Update(float64(n.Up))
	i.trafficShare.Update(roundCents(c.retryShare.trafficShare))
}

// contactShare returns the share of all known entries, this one included, that this entry is
// in contact with. If it knows no other, it may only take itself for the only one if the
// store, which lists entries that no other answers, doesn't list another.
func (c *control) contactShare() float64 {
	n := c.members.Contact()
	if n.Known == 0 && c.enrolledAt.IsZero() {
		return 0
	}
	return float64(n.Up+1) / float64(n.Known+1)
}
