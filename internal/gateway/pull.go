package gateway

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/slot"
)

var _ relay.Source = (*control)(nil)

// AnswerPull returns what another entry lacks.
func (c *control) AnswerPull(ctx context.Context, have relay.PullQuery) (result relay.PullResult, err error) {
	m := pullRequest{have: have, reply: make(chan relay.PullResult, 1)}
	c.enqueue(ctx, m)
	select {
	case result = <-m.reply:
		return result, nil
	case <-ctx.Done():
		return result, errors.WithMessage(ctx.Err(), "control")
	}
}

// pullRequest is another entry's pull.
type pullRequest struct {
	have  relay.PullQuery
	reply chan relay.PullResult
}

func (m pullRequest) apply(now time.Time, c *control) {
	var result relay.PullResult
	if m.have.Config < c.config.Version {
		result.Config = c.configData
	}
	if m.have.Targets < c.targets.LastChange() {
		result.Revision, result.LastChange, result.Age = c.targets.Revision(), c.targets.LastChange(), now.Sub(c.confirmed[resourceTargets])
		result.Targets, result.Changes = c.targetsSince(m.have.Targets)
	}
	if m.have.Evacuations < c.evacuations.LastChange() {
		result.Evacuations = &relay.Evacuations{
			List: slices.Collect(maps.Values(c.evacuations.Items())), Revision: c.evacuations.Revision(), LastChange: c.evacuations.LastChange(),
			Age: now.Sub(c.confirmed[resourceEvacuations]),
		}
	}
	if m.have.WantEntries {
		result.Entries = c.members.EntriesMissingFrom(m.have.EntryDigests)
	}
	m.reply <- result
}

// targetsSince returns the changes of targets since a revision, or the full list if the
// recorded changes don't reach back to it.
func (c *control) targetsSince(since roster.Revision) (update relay.TargetsUpdate, changes []roster.Change[slot.Target]) {
	changes, ok := c.targets.ChangesSince(since)
	if ok {
		return relay.TargetsChanged, changes
	}
	for _, it := range c.targets.Items() {
		changes = append(changes, roster.Change[slot.Target]{Item: it})
	}
	return relay.TargetsListed, changes
}

// confirm records that the store confirmed at that time that there is nothing newer.
func (c *control) confirm(now time.Time, r resource, at time.Time) {
	if !at.After(c.confirmed[r]) {
		return
	}
	if r == resourceTargets {
		c.noteStoreReturn(now, at)
		c.noteStoreResponse(at)
	}
	if c.confirmed[r].IsZero() {
		c.servicesStale = true
	}
	c.confirmed[r] = at
}

// age returns the time since the store last confirmed a resource, or since the start if it
// never has.
func (c *control) age(now time.Time, r resource) time.Duration {
	if c.confirmed[r].IsZero() {
		return now.Sub(c.started)
	}
	return now.Sub(c.confirmed[r])
}

// unconfirmedAge is the least age at which another entry's copy counts as never confirmed:
// longer than any outage, and shorter than the age computed from a zero time, which stands for
// data that was never confirmed.
const unconfirmedAge = 24 * time.Hour

// confirmFromPeer records another entry's confirmation, sent at that time or later, of a
// version that both have. Entries that have just started have the same version too, which
// is none, but have not asked the store. If their advertised ages counted as confirmations,
// none of them would ask it.
func (c *control) confirmFromPeer(now, sentAt time.Time, r resource, age time.Duration) {
	if age < unconfirmedAge {
		c.confirm(now, r, sentAt.Add(-age))
	}
}

// pullExclusiveTime is how long a pull prevents a pull from another entry. The entry that is
// asked may have lost power right after it advertised a change, and the call fails only after
// 0.5 s: 36 of 113 gateways waited that long for one that was isolated, and meanwhile sent
// requests to targets that had left. A reply takes 20 ms, and up to 0.2 s when all
// entries start at once.
const pullExclusiveTime = 200 * time.Millisecond

// pull asks another entry for what this one lacks.
func (c *control) pull(now time.Time, from string) {
	if c.pullSource == from || c.pullSource != "" && now.Sub(c.pullStarted) < pullExclusiveTime {
		return
	}
	c.pullSource, c.pullStarted = from, now
	c.gateway.instruments.pulls.Inc(1)
	have := relay.PullQuery{Config: c.config.Version, Targets: c.targets.LastChange(), Evacuations: c.evacuations.LastChange()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := c.gateway.relay.Pull(ctx, from, have)
		c.enqueue(context.Background(), pullFinished{askedAt: now, from: from, result: result, err: err})
	}()
}

// pullFinished is the result of a pull, or its error.
type pullFinished struct {
	askedAt time.Time
	from    string // address
	result  relay.PullResult
	err     error
}

func (m pullFinished) apply(now time.Time, c *control) {
	if c.pullSource == m.from {
		c.pullSource = ""
	}
	if m.err != nil {
		c.gateway.log.WithError(m.err).Warn("nothing pulled")
		if c.newestSource != m.from {
			c.pullNewest(now)
		}
		return
	}
	if len(m.result.Config) > 0 {
		c.applyConfig(now, m.result.Config, "entry "+m.from)
	}
	if e := m.result.Evacuations; e != nil {
		c.confirmFromPeer(now, m.askedAt, resourceEvacuations, e.Age)
		if c.changeEvacuations(now, func() bool { return c.applyPulledEvacuations(*e) }, "entry "+m.from) {
			c.handleEvent(now, member.PushNow{})
		}
	}
	if m.result.Targets != relay.TargetsUnchanged {
		// The reply was sent between the request and now, and its transfer may have
		// taken half a second. Measured from the request, the age of a list is never
		// underestimated.
		c.confirmFromPeer(now, m.askedAt, resourceTargets, m.result.Age)
		changed := c.changeTargets(now, func() bool { return c.applyPulledTargets(m.result) })
		if changed {
			c.announceRevisions(now)
		}
	}
	c.pullNewest(now)
}

// lacks reports whether another entry advertises something newer.
func (c *control) lacks(k relay.Knowledge) bool {
	return k.Config > c.config.Version || k.Targets > c.targets.LastChange() || k.Evacuations > c.evacuations.LastChange()
}

// pullNewest pulls again if something newer was advertised during a pull, or if the entry
// that was asked doesn't answer. At a start the configuration and the targets are read
// separately: without a second pull, an entry that got only one of them would lack the other
// until the next round.
func (c *control) pullNewest(now time.Time) {
	if c.lacks(c.newestKnowledge) {
		c.pull(now, c.newestSource)
	}
}

// minFetchInterval is the least time between two fetches. While hundreds of entries start,
// their tables differ all the time, and each fetch brings the entries added since.
const minFetchInterval = 2 * roundPeriod

// fetch asks another entry for the members that this one lacks. The maximum revisions exclude
// all other data, which a pull may already be transferring.
func (c *control) fetch(now time.Time, from string) {
	if c.fetchPending || now.Sub(c.lastFetch) < minFetchInterval {
		return
	}
	c.fetchPending, c.lastFetch = true, now
	have := relay.PullQuery{
		Config: math.MaxUint64, Targets: math.MaxUint64, Evacuations: math.MaxUint64, WantEntries: true, EntryDigests: c.members.EntryDigests(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := c.gateway.relay.Pull(ctx, from, have)
		c.enqueue(context.Background(), entriesFetched{result.Entries, err})
	}()
}

// entriesFetched is the result of a fetch.
type entriesFetched struct {
	entries []member.Entry
	err     error
}

func (m entriesFetched) apply(now time.Time, c *control) {
	c.fetchPending = false
	if m.err != nil {
		c.gateway.log.WithError(m.err).Warn("fetch of the other entries failed")
	} else {
		c.handleEvent(now, member.Fetched{Entries: m.entries})
	}
}

// applyPulledTargets applies the targets in the reply to a pull.
func (c *control) applyPulledTargets(result relay.PullResult) (changed bool) {
	if result.Targets == relay.TargetsChanged {
		changed = c.targets.Merge(result.Changes, result.Revision)
	} else {
		list := make([]roster.Item[slot.Target], 0, len(result.Changes))
		for _, change := range result.Changes {
			list = append(list, change.Item)
		}
		changed = c.targets.Replace(list, result.Revision)
	}
	c.targets.AdvanceLastChange(result.LastChange)
	return changed
}
