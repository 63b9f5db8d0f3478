package entry

import (
	"time"

	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/tree"
)

// documentChanged carries the settings in force. An older revision is ignored.
type documentChanged struct{ document tree.Document }

func (m documentChanged) apply(_ time.Time, c *control) {
	if m.document.Revision < c.document.Revision {
		return
	}
	c.document = m.document
}

// vmsListed carries the platform's list of VMs.
type vmsListed struct{ list []store.VM }

func (m vmsListed) apply(_ time.Time, c *control) { c.vms, c.vmsKnown = m.list, true }

// drainsListed carries the targets and places that operators drain.
type drainsListed struct{ drains drainState }

func (m drainsListed) apply(_ time.Time, c *control) { c.drains = m.drains }

// membersChanged carries the live entries, including this one. They divide
// claimWritesPerSecond equally.
type membersChanged struct{ live []member.Entry }

func (m membersChanged) apply(_ time.Time, c *control) {
	c.live = m.live
	c.entry.claimRate.SetLimit(claimWritesPerSecond / rate.Limit(max(len(m.live), 1)))
}

// targetLeaving reports that an incarnation of a target is leaving. The VM list
// may not contain the target yet.
type targetLeaving struct {
	target string
	boot   uint64
}

func (m targetLeaving) apply(now time.Time, c *control) {
	for _, sv := range c.services {
		sv.markLeaving(now, m.target, m.boot)
	}
}

// entryLeaving removes this entry from locate.
type entryLeaving struct{}

func (entryLeaving) apply(_ time.Time, c *control) { c.leaving = true }
