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
func (c *control) logContact(now time.Time) {
	state := contactStateOf(c.contact)
	if state == c.logged.contact {
		return
	}
	fields := log.Fields{"contact": state.String(), "before": c.logged.contact.String(), "up": c.contact.Up, "known": c.contact.Known}
	if at := c.members.LastReceived(); !at.IsZero() {
		fields["silence"] = now.Sub(at).Milliseconds()
	}
	c.logged.contact = state
	c.gateway.log.WithFields(fields).Info("contact with other entries changed")
}

// updateContactGauges sets the gauges of the contact with the other entries.
func (c *control) updateContactGauges() {
	i := &c.gateway.instruments
	i.knownEntries.Update(float64(c.contact.Known))
	i.upEntries.Update(float64(c.contact.Up))
	i.trafficShare.Update(roundHundredths(c.retryShare.trafficShare))
	if s := c.gateway.quotaShare.Load(); s != nil {
		i.Scope.Gauge("quota_share").Update(s.Share)
	}
}

// contactShare returns the share of all known entries, this one included, that this entry is
// in contact with, for everything but the limits of client accounts (quotaContact). It is 0 while this entry knows of no other and hasn't listed the records
// in the store, where entries that reach no other have one.
func (c *control) contactShare() float64 {
	if c.contact.Known == 0 && !c.recordsListed {
		return 0
	}
	return float64(c.contact.Up+1) / float64(c.contact.Known+1)
}
