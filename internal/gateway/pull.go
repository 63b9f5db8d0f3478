package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/owner"
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
		n.Listed, n.At, n.Age = true, c.targets.At(), now.Sub(c.confirmed[dutyTargets])
		for _, it := range c.targets.Items() {
			n.Targets = append(n.Targets, it)
		}
	}
	m.answer <- n
}

// beatHeard is a beat of another entry.
type beatHeard struct{ beat relay.Beat }

func (m beatHeard) apply(now time.Time, c *control) {
	b := m.beat
	p := c.peers[b.Entry.Name]
	if b.Entry.Name == c.gateway.self.Name || p != nil && p.entry.Boot > b.Entry.Boot {
		return
	}
	c.peers[b.Entry.Name] = &peer{entry: b.Entry, heard: now, beat: b, revision: p.known()}
	c.gateway.suspects.Merge(now, b.Entry.Name, b.Suspects)
	if b.Config > c.config.Version || b.Targets > c.targets.Moved() {
		c.pull(b.Entry)
	}
	if b.Config == c.config.Version {
		c.confirm(dutyConfig, now.Add(-b.ConfigAge))
	}
	if b.Targets == c.targets.Moved() {
		c.confirm(dutyTargets, now.Add(-b.TargetsAge))
	}
}

// confirm notes that the store said at that time that nothing is newer.
func (c *control) confirm(d duty, at time.Time) {
	c.confirmed[d] = later(c.confirmed[d], at)
}

// pull asks another entry for what it has and this one lacks.
func (c *control) pull(from owner.Entry) {
	if c.pulling {
		return
	}
	c.pulling = true
	c.gateway.instruments.pulls.Inc(1)
	have := relay.Have{Config: c.config.Version, Targets: c.targets.Moved()}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n, err := c.gateway.relay.Pull(ctx, from, have)
		c.tell(context.Background(), newsPulled{from: from, news: n, err: err})
	}()
}

// newsPulled is the answer to a pull.
type newsPulled struct {
	from owner.Entry
	news relay.News
	err  error
}

func (m newsPulled) apply(now time.Time, c *control) {
	c.pulling = false
	if m.err != nil {
		c.gateway.log.WithError(m.err).Warn("nothing pulled")
		return
	}
	if len(m.news.Config) > 0 {
		c.adopt(now, m.news.Config, "entry "+m.from.Name)
	}
	if m.news.Listed {
		c.change(now, func() bool { return c.targets.Replace(m.news.Targets, m.news.At) })
		c.confirm(dutyTargets, now.Add(-m.news.Age))
	}
}
