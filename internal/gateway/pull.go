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

// News gives another entry what it lacks.
func (c *control) News(ctx context.Context, have relay.Have) (n relay.News, err error) {
	q := newsAsked{have: have, answer: make(chan relay.News, 1)}
	c.tell(ctx, q)
	select {
	case n = <-q.answer:
		return n, nil
	case <-ctx.Done():
		return n, errors.WithMessage(ctx.Err(), "control")
	}
}

// newsAsked is another entry's question.
type newsAsked struct {
	have   relay.Have
	answer chan relay.News
}

func (m newsAsked) apply(now time.Time, c *control) {
	var n relay.News
	if m.have.Config < c.config.Version {
		n.Config = c.raw
	}
	if m.have.Targets < c.targets.Moved() {
		n.At, n.Moved, n.Age = c.targets.At(), c.targets.Moved(), now.Sub(c.confirmed[dutyTargets])
		n.Targets, n.Changes = c.targetsSince(m.have.Targets)
	}
	if m.have.Evacuations < c.evacuations.Moved() {
		n.Evacuations = &relay.Evacuations{
			List: slices.Collect(maps.Values(c.evacuations.Items())), At: c.evacuations.At(), Moved: c.evacuations.Moved(),
			Age: now.Sub(c.confirmed[dutyEvacuations]),
		}
	}
	if m.have.Entries {
		n.Entries = c.members.Lacking(m.have.Known)
	}
	m.answer <- n
}

// targetsSince gives the changes of targets since a revision, or the whole list
// where they don't reach back so far.
func (c *control) targetsSince(since roster.Revision) (e relay.Extent, changes []roster.Change[slot.Target]) {
	changes, ok := c.targets.Since(since)
	if ok {
		return relay.Changed, changes
	}
	for _, it := range c.targets.Items() {
		changes = append(changes, roster.Change[slot.Target]{Item: it})
	}
	return relay.Listed, changes
}

// confirm notes that the store said at that time that nothing is newer.
func (c *control) confirm(now time.Time, d duty, at time.Time) {
	if !at.After(c.confirmed[d]) {
		return
	}
	if d == dutyTargets {
		c.returned(now, at)
		c.answers(at)
	}
	if c.confirmed[d].IsZero() {
		c.dirty = true
	}
	c.confirmed[d] = at
}

// age is for how long the store hasn't confirmed what is known. Where nothing is
// known yet, it is that of the start.
func (c *control) age(now time.Time, d duty) time.Duration {
	if c.confirmed[d].IsZero() {
		return now.Sub(c.started)
	}
	return now.Sub(c.confirmed[d])
}

// neverAge is the age from which on what another entry knows counts as never
// confirmed: longer than any outage, shorter than any clock's zero.
const neverAge = 24 * time.Hour

// vouched takes another entry's word, given at that time or later, that the store
// confirmed what both know. Entries that have just started both know nothing, and
// none has asked: taken for a confirmation, that keeps all of them from asking.
func (c *control) vouched(now, given time.Time, d duty, age time.Duration) {
	if age < neverAge {
		c.confirm(now, d, given.Add(-age))
	}
}

// pullPatience is how long a pull keeps others from being made. The entry that was
// asked may have lost power right after it told of news, and is given up only after
// 0.5 s: 36 of 113 gateways waited so long for one that was cut off, with requests for
// targets that had left. An answer takes 20 ms, where all start at once up to 0.2 s.
const pullPatience = 200 * time.Millisecond

// pull asks another entry for what it has and this one lacks.
func (c *control) pull(now time.Time, from string) {
	if c.pulling == from || c.pulling != "" && now.Sub(c.pullAt) < pullPatience {
		return
	}
	c.pulling, c.pullAt = from, now
	c.gateway.instruments.pulls.Inc(1)
	have := relay.Have{Config: c.config.Version, Targets: c.targets.Moved(), Evacuations: c.evacuations.Moved()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n, err := c.gateway.relay.Pull(ctx, from, have)
		c.tell(context.Background(), newsPulled{asked: now, from: from, news: n, err: err})
	}()
}

// newsPulled is the answer to a pull.
type newsPulled struct {
	asked time.Time
	from  string // address
	news  relay.News
	err   error
}

func (m newsPulled) apply(now time.Time, c *control) {
	if c.pulling == m.from {
		c.pulling = ""
	}
	if m.err != nil {
		c.gateway.log.WithError(m.err).Warn("nothing pulled")
		if c.newestAt != m.from {
			c.pullMore(now)
		}
		return
	}
	if len(m.news.Config) > 0 {
		c.adopt(now, m.news.Config, "entry "+m.from)
	}
	if e := m.news.Evacuations; e != nil {
		c.vouched(now, m.asked, dutyEvacuations, e.Age)
		if c.evacuate(now, func() bool { return c.evacuated(*e) }, "entry "+m.from) {
			c.drive(now, member.News{})
		}
	}
	if m.news.Targets != relay.Nothing {
		// The answer was given between the question and now, and may have been on its
		// way for half a second. Counted from the question, a list is never taken for
		// younger than it is.
		c.vouched(now, m.asked, dutyTargets, m.news.Age)
		moved := c.change(now, func() bool { return c.pulled(m.news) })
		if moved {
			c.spread(now)
		}
	}
	c.pullMore(now)
}

// lacks reports whether another entry has something newer.
func (c *control) lacks(k relay.Knowledge) bool {
	return k.Config > c.config.Version || k.Targets > c.targets.Moved() || k.Evacuations > c.evacuations.Moved()
}

// pullMore pulls again where word that came during a pull told of something newer,
// or where the entry that was asked doesn't answer. At a start the configuration and
// the targets are read apart, and whoever pulled the one would lack the other until
// the next round.
func (c *control) pullMore(now time.Time) {
	if c.lacks(c.newest) {
		c.pull(now, c.newestAt)
	}
}

// fetchPause is the least time between two fetches. While hundreds start, all
// differ from each other all the time; each fetch brings what came since.
const fetchPause = 2 * roundPeriod

// fetch asks another entry for the entries that this one lacks, and for nothing
// else, which a pull may be bringing.
func (c *control) fetch(now time.Time, from string) {
	if c.fetching || now.Sub(c.fetched) < fetchPause {
		return
	}
	c.fetching, c.fetched = true, now
	have := relay.Have{
		Config: math.MaxUint64, Targets: math.MaxUint64, Evacuations: math.MaxUint64, Entries: true, Known: c.members.Known(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n, err := c.gateway.relay.Pull(ctx, from, have)
		c.tell(context.Background(), entriesFetched{n.Entries, err})
	}()
}

// entriesFetched is the answer to a fetch.
type entriesFetched struct {
	entries []member.Entry
	err     error
}

func (m entriesFetched) apply(now time.Time, c *control) {
	c.fetching = false
	if m.err != nil {
		c.gateway.log.WithError(m.err).Warn("no entries fetched")
	} else {
		c.drive(now, member.Fetched{Entries: m.entries})
	}
}

// pulled applies what another entry knows of the targets.
func (c *control) pulled(n relay.News) (moved bool) {
	if n.Targets == relay.Changed {
		moved = c.targets.Told(n.Changes, n.At)
	} else {
		list := make([]roster.Item[slot.Target], 0, len(n.Changes))
		for _, change := range n.Changes {
			list = append(list, change.Item)
		}
		moved = c.targets.Replace(list, n.At)
	}
	c.targets.Reached(n.Moved)
	return moved
}
