package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
	"plumpitch.example/plumpitch/pkg/route"
	"plumpitch.example/plumpitch/pkg/slot"
)

// maxInbox bounds the messages that wait for the control loop.
const maxInbox = 256

// Times of the control loop.
const (
	// beatPeriod is how often an entry says that it lives.
	beatPeriod = 250 * time.Millisecond
	// beatEntries is among how many entries all beat that often. Beats go from
	// each to each, so that beyond that the ones that have no duty beat less
	// often, in proportion: the beats that an entry hears stay as many.
	beatEntries = 16
	// deadBeats is how many of its periods an entry may be silent. Three lost
	// beats and a late one make it dead, so callers are sent elsewhere within a
	// second of the death of their owner.
	deadBeats = 3.6
)

// message is something that the control loop has to know. The set is closed.
type message interface {
	apply(now time.Time, c *control)
}

// control is the one owner of what this entry believes.
type control struct {
	gateway *Gateway
	inbox   chan message
	started time.Time

	config  route.Config
	table   *route.Table
	raw     []byte // the configuration as the operator wrote it
	targets *roster.Roster[slot.Target]
	lapses  *roster.Lapses[slot.Target]
	// confirmed is when the store was asked for what is known.
	confirmed [duties]time.Time
	configAt  roster.Revision // up to which the configuration's history is known
	peers     map[string]*peer
	services  map[string]*service
	shut      bool // the store doesn't serve this entry
	pulling   bool
	strain    strain
	believed  beliefs
	duty      bool      // this entry owns a service or reads the store
	beaten    time.Time // last beat
}

// peer is another entry.
type peer struct {
	entry    owner.Entry
	heard    time.Time
	beat     relay.Beat
	revision roster.Revision // of its record, where this entry has read it
}

// known is the revision of the record of an entry, zero for one not heard of.
func (p *peer) known() roster.Revision {
	if p == nil {
		return 0
	}
	return p.revision
}

// up reports whether the entry is known to live.
func (p *peer) up(now time.Time) bool {
	period := max(p.beat.Period, beatPeriod)
	return now.Sub(p.heard) < time.Duration(deadBeats*float64(period))
}

func newControl(g *Gateway) *control {
	return &control{
		gateway: g, inbox: make(chan message, maxInbox), started: time.Now(),
		targets: roster.New(slot.Same), lapses: roster.NewLapses[slot.Target](), peers: make(map[string]*peer), services: make(map[string]*service),
	}
}

// tell hands a message to the control loop; it waits while the inbox is full.
func (c *control) tell(ctx context.Context, m message) {
	select {
	case c.inbox <- m:
	case <-ctx.Done():
	}
}

// heard takes a beat of another entry. One that finds the inbox full is
// dropped: the next one says the same.
func (c *control) heard(b relay.Beat) {
	c.gateway.instruments.beats.Inc(1)
	select {
	case c.inbox <- beatHeard{b}:
	default:
		c.gateway.log.WithField("from", b.Entry.Name).Warn("control: inbox full, beat dropped")
	}
}

// Serve runs until ctx ends. Its state outlives a restart by the supervisor.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.inbox:
			c.take(m)
		case <-tick.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) String() string { return "control" }

func (c *control) tick(now time.Time) {
	c.gateway.rate.tick(now)
	c.strain.tick(now, beatPeriod)
	c.forget(now)
	c.publish(now)
	c.report(now)
	if now.Sub(c.beaten) >= c.period()-beatPeriod/2 {
		c.beat(now)
	}
}

// period is how often this entry beats.
func (c *control) period() time.Duration {
	if c.duty || len(c.peers) < beatEntries {
		return beatPeriod
	}
	return beatPeriod * time.Duration((len(c.peers)+beatEntries)/beatEntries)
}

// take applies a message and all that wait behind it, then publishes once.
func (c *control) take(m message) {
	now := time.Now()
	for {
		m.apply(now, c)
		select {
		case m = <-c.inbox:
		default:
			c.publish(now)
			return
		}
	}
}

// live are the entries that are known to be up, this one among them.
func (c *control) live(now time.Time) []owner.Candidate {
	var list []owner.Candidate
	if !c.gateway.leaving.Load() {
		list = append(list, owner.Candidate{Entry: c.gateway.self, Strained: c.strain.strained(now)})
	}
	for _, p := range c.peers {
		if p.up(now) && !p.beat.Leaving {
			list = append(list, owner.Candidate{Entry: p.entry, Strained: p.beat.Strained})
		}
	}
	return list
}

// readers are the entries that the store serves, as far as is known.
func (c *control) readers(now time.Time) []owner.Candidate {
	var list []owner.Candidate
	for _, e := range c.live(now) {
		p := c.peers[e.Name]
		if p != nil && p.beat.Shut || p == nil && c.shut {
			continue
		}
		list = append(list, e)
	}
	return list
}

// publish brings the services in line with what is known and replaces the view.
func (c *control) publish(now time.Time) {
	byService := make(map[string][]slot.Target)
	places := make(map[string]map[string]int)
	for _, it := range c.usable(now) {
		t := it.Value
		byService[t.Service] = append(byService[t.Service], t)
		if places[t.Service] == nil {
			places[t.Service] = make(map[string]int)
		}
		places[t.Service][t.Place]++
	}
	for name, s := range c.config.Services {
		sv := c.services[name]
		if sv == nil {
			sv = newService(c.gateway, s)
			c.services[name] = sv
		}
		sv.configure(s)
		sv.take(now, byService[name])
	}
	live := c.live(now)
	owners := owner.Owners(live, c.needs(now, places))
	c.duty = c.hasDuty(now, owners)
	c.logBeliefs(live, owners)
	services := make(map[string]*service, len(c.services))
	for name, sv := range c.services {
		services[name] = sv
	}
	c.gateway.view.Store(&view{
		table: c.table, services: services, live: live, owners: owners,
	})
}

// usable are the targets on record and those whose records are awaited after an
// outage of the store.
func (c *control) usable(now time.Time) map[string]roster.Item[slot.Target] {
	items := c.targets.Items()
	for name, it := range c.lapses.Kept(now) {
		if _, ok := items[name]; !ok {
			items[name] = it
		}
	}
	return items
}

// change applies a change of the targets and notes what vanished by it.
func (c *control) change(now time.Time, apply func() (moved bool)) (moved bool) {
	if last := c.confirmed[dutyTargets]; !last.IsZero() {
		c.lapses.Heard(now, now.Sub(last))
	}
	before := c.targets.Items()
	if !apply() {
		return false
	}
	for name, it := range before {
		if _, ok := c.targets.Get(name); !ok && !it.Value.Leaving {
			c.lapses.Removed(now, it)
		}
	}
	return true
}

// needs are the services to whose owners callers are sent, with an equal part
// of all requests.
func (c *control) needs(now time.Time, places map[string]map[string]int) (needs []owner.Need) {
	if c.table == nil {
		return nil
	}
	total := c.gateway.rate.mean
	for _, p := range c.peers {
		if p.up(now) {
			total += p.beat.Rate
		}
	}
	homes := c.table.Homes()
	for name := range homes {
		needs = append(needs, owner.Need{Service: name, Load: total / float64(len(homes)), Places: places[name]})
	}
	return needs
}

// hasDuty tells whether others have to know at once when this entry dies.
func (c *control) hasDuty(now time.Time, owners map[string][]owner.Entry) bool {
	for _, list := range owners {
		for _, e := range list {
			if e.Name == c.gateway.self.Name {
				return true
			}
		}
	}
	readers := c.readers(now)
	for _, name := range dutyNames {
		if owner.Rank(readers, name, c.gateway.self.Name) < fastReaders {
			return true
		}
	}
	return false
}

// fastReaders is how many entries in the order of readers beat at the full rate.
const fastReaders = 3

// beat tells the other entries that this one lives and what it knows.
func (c *control) beat(now time.Time) {
	c.beaten = now
	var to []owner.Entry
	for _, p := range c.peers {
		to = append(to, p.entry)
	}
	b := relay.Beat{
		Entry: c.gateway.self, Config: c.config.Version, Targets: c.targets.Moved(),
		ConfigAge: now.Sub(c.confirmed[dutyConfig]), TargetsAge: now.Sub(c.confirmed[dutyTargets]),
		Shut: c.shut, Leaving: c.gateway.leaving.Load(), Strained: c.strain.strained(now),
		Rate: c.gateway.rate.mean, Period: c.period(), Suspects: c.gateway.suspects.Export(now, maxSuspects),
	}
	if err := c.gateway.relay.Tell(b, to); err != nil {
		c.gateway.log.WithError(err).Debug("beat not sent to all")
	}
}

// maxSuspects is how many suspects a beat carries.
const maxSuspects = 32

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

// configRead is what the store has of the configuration, oldest first.
type configRead struct {
	raw   [][]byte
	at    roster.Revision
	asked time.Time
}

func (m configRead) apply(now time.Time, c *control) {
	for _, raw := range m.raw {
		c.adopt(now, raw, "store")
	}
	c.configAt = max(c.configAt, m.at)
	c.confirm(dutyConfig, m.asked)
}

// adopt puts a configuration in force that is newer than the one that is.
func (c *control) adopt(now time.Time, raw []byte, source string) {
	cfg, err := parseConfig(raw)
	if err != nil {
		c.gateway.log.WithError(err).WithField("source", source).Error("configuration refused")
		return
	}
	if cfg.Version <= c.config.Version {
		return
	}
	c.gateway.log.WithFields(log.Fields{
		"version": uint64(cfg.Version), "before": uint64(c.config.Version), "source": source, "routes": len(cfg.Routes),
	}).Info("configuration in force")
	c.config, c.raw = cfg, raw
	c.table = route.New(cfg, c.table)
	c.publish(now)
	c.beat(now)
}

// targetsListed is the whole list of targets.
type targetsListed struct {
	items []roster.Item[slot.Target]
	at    roster.Revision
	asked time.Time
}

func (m targetsListed) apply(now time.Time, c *control) {
	moved := c.change(now, func() bool { return c.targets.Replace(m.items, m.at) })
	c.targetsRead(now, moved, m.asked)
}

// targetsChanged are changes of targets since the last ones.
type targetsChanged struct {
	changes []roster.Change[slot.Target]
	at      roster.Revision
	asked   time.Time
}

func (m targetsChanged) apply(now time.Time, c *control) {
	moved := c.change(now, func() bool { return c.targets.Apply(m.changes, m.at) })
	c.targetsRead(now, moved, m.asked)
}

func (c *control) targetsRead(now time.Time, moved bool, asked time.Time) {
	c.confirm(dutyTargets, asked)
	if !moved {
		return
	}
	c.beat(now)
}

// entriesListed are the entries that the store has on record.
type entriesListed struct{ items []roster.Item[owner.Entry] }

func (m entriesListed) apply(now time.Time, c *control) {
	for _, it := range m.items {
		e := it.Value
		if e.Name == c.gateway.self.Name {
			continue
		}
		if c.peers[e.Name] == nil {
			c.peers[e.Name] = &peer{entry: e, heard: now}
		}
		c.peers[e.Name].revision = it.Revision
	}
	c.beat(now)
}

// forgetAfter is how long an entry is silent before its record is removed. A VM
// that is cut off or frozen for a while keeps its record, and is told of what
// it missed as soon as it is back.
const forgetAfter = 2 * time.Minute

// forget drops entries that were silent for long. The first in the order
// removes their records, unless they have changed: an entry that started anew
// has entered itself again.
func (c *control) forget(now time.Time) {
	for name, p := range c.peers {
		if now.Sub(p.heard) < forgetAfter {
			continue
		}
		delete(c.peers, name)
		if owner.Rank(c.live(now), dutyNames[dutyTargets], c.gateway.self.Name) != 0 || p.revision == 0 {
			continue
		}
		c.gateway.log.WithFields(log.Fields{"peer": name, "silent": now.Sub(p.heard).String()}).Info("record of a dead entry removed")
		go c.gateway.remove(name, p.revision)
	}
}

// remove removes the record of a dead entry.
func (g *Gateway) remove(name string, rev roster.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), listTime)
	defer cancel()
	if err := g.store.Leave(ctx, name, rev); err != nil {
		g.log.WithError(err).WithField("peer", name).Info("record not removed")
	}
}

// storeAnswered tells whether the store serves this entry.
type storeAnswered struct{ err error }

func (m storeAnswered) apply(_ time.Time, c *control) {
	shut := m.err != nil
	if shut == c.shut {
		return
	}
	c.shut = shut
	if shut {
		c.gateway.log.WithError(m.err).Warn("store lost")
	} else {
		c.gateway.log.Info("store regained")
	}
}

var _ relay.Source = (*control)(nil)

// suspectsOf is the table of requests that crash targets.
func (c *control) suspectsOf() *call.Suspects { return c.gateway.suspects }
