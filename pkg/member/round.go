package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groups are the other entries that can be asked, by nearness.
type groups struct {
	up      []*record
	place   []*record // own place
	region  []*record // other places of the own region
	far     []*record // other regions
	near    []*record // among which each is watched by the one before it
	watched []*record // asked in every round
}

// smallRegion is the number of entries below which a region's entries are
// watched from other regions too.
const smallRegion = 3

// largePlace is the number of other entries from which on those of a place watch
// each other, since bytes between places cost. Where such a place is lost as a
// whole, the random exchanges of the others find it: each of 94 lost among 472 is
// asked twice a round.
const largePlace = 16

// Shares of the random exchanges by nearness, of eight.
const (
	shares      = 8
	placeShare  = 4
	regionShare = 2
)

func (t *Table) peers() *groups {
	if t.groups == nil {
		t.groups = t.group()
	}
	return t.groups
}

func (t *Table) group() *groups {
	g := &groups{}
	regions := make(map[string]int)
	for _, r := range t.byName() {
		if r.State.Gone() {
			continue
		}
		regions[r.Region]++
		if r == t.self {
			continue
		}
		g.up = append(g.up, r)
		switch {
		case r.Region != t.self.Region:
			g.far = append(g.far, r)
		case r.Place != t.self.Place:
			g.region = append(g.region, r)
		default:
			g.place = append(g.place, r)
		}
	}
	g.watched = t.watch(g, regions)
	return g
}

// watch gives the entries after this one in an order by hash: each entry is
// asked by one certain other in every round, so a death is noticed within a
// period. The hash scatters the entries of a place, so that a lost place leaves
// few gaps of more than one. An entry in a small region is watched by the one
// before it over all regions.
func (t *Table) watch(g *groups, regions map[string]int) []*record {
	g.near = g.place
	if len(g.near) < largePlace {
		g.near = append(slices.Clone(g.place), g.region...)
	}
	watched := t.after(g.near, 1)
	for _, next := range t.after(g.up, 1) {
		if regions[next.Region] < smallRegion && !slices.Contains(watched, next) {
			watched = append(watched, next)
		}
	}
	return watched
}

// after gives at most so many that follow this entry in the order by hash.
// Suspects are passed over: the ones behind them must not go unwatched meanwhile.
func (t *Table) after(rs []*record, most int) (next []*record) {
	own := xxhash.Sum64String(t.self.ID.Name)
	distance := func(r *record) uint64 { return r.hash - own }
	for _, r := range rs {
		if r.State == Suspect {
			continue
		}
		at := len(next)
		for at > 0 && distance(r) < distance(next[at-1]) {
			at--
		}
		if at == most {
			continue
		}
		next = slices.Insert(next, at, r)[:min(len(next)+1, most)]
	}
	return next
}

func (t *Table) tick(now time.Time) {
	t.expire(now)
	if now.Before(t.round) || t.self.State == Left {
		return
	}
	t.round = now.Add(t.jitter(t.cfg.Period))
	t.rounds++
	t.followed = false
	t.contact(now)
	t.exchangeRound(now)
	t.recheck(now)
}

// jitter spreads a period by a tenth to either side, so that entries which
// started together do not stay in step.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d + time.Duration((t.rand.Float64()-0.5)/5*float64(d))
}

func (t *Table) exchangeRound(now time.Time) {
	asked := slices.Clone(t.peers().watched)
	if r := t.pick(asked); r != nil {
		asked = append(asked, r)
	}
	for _, r := range asked {
		t.gossip(now, r)
	}
}

// pick draws an entry, mostly a near one, that is not among those excluded.
func (t *Table) pick(excluded []*record) *record {
	g := t.peers()
	var from []*record
	switch n := t.rand.IntN(shares); {
	case n < placeShare:
		from = g.place
	case n < placeShare+regionShare:
		from = g.region
	default:
		from = g.far
	}
	if r := t.draw(from, excluded); r != nil {
		return r
	}
	return t.draw(g.up, excluded)
}

func (t *Table) draw(from, excluded []*record) *record {
	var left []*record
	for _, r := range from {
		if !slices.Contains(excluded, r) {
			left = append(left, r)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left[t.rand.IntN(len(left))]
}

// contact tries the seeds: each round until one has answered, later now and
// then those that no known entry listens at, so that groups which never met do.
func (t *Table) contact(now time.Time) {
	if t.joined && t.rounds%retryRounds != 0 {
		return
	}
	unknown := t.unknownSeeds()
	if len(unknown) == 0 {
		return
	}
	t.join(now, unknown[t.rand.IntN(len(unknown))])
}

func (t *Table) unknownSeeds() []string {
	known := map[string]bool{t.self.Peer: true}
	for _, r := range t.records {
		if t.joined && !r.State.Gone() {
			known[r.Peer] = true
		}
	}
	var unknown []string
	for _, s := range t.seeds {
		if !known[s] {
			unknown = append(unknown, s)
		}
	}
	return unknown
}

// recheck verifies an old accusation, or tries a dead entry: now and then, and
// in every round while they come back.
func (t *Table) recheck(now time.Time) {
	if t.verify(now) {
		return
	}
	if !t.returning && t.rand.IntN(retryRounds) != 0 {
		return
	}
	var dead []*record
	for _, r := range t.byName() {
		if r.State == Dead {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		t.returning = false
		return
	}
	t.gossip(now, dead[t.rand.IntN(len(dead))])
}

func (t *Table) verify(now time.Time) bool {
	for len(t.doubts) > 0 {
		d := t.doubts[0]
		t.doubts = t.doubts[1:]
		r, ok := t.records[d.ID.Name]
		if !ok || !d.newer(r.Entry) || r.State.Gone() {
			continue
		}
		m := t.message(now, r.ID.Name)
		m.Entries = append([]Entry{d.brief()}, m.Entries...)
		t.send(r.ref(), m, exchange{})
		return true
	}
	return false
}

// Pushes: news go out at once and not with the next round, but no more often
// than a budget allows.
const (
	pushBurst = 3
)

type budget struct {
	tokens float64
	at     time.Time
}

func (b *budget) take(now time.Time, period time.Duration) bool {
	if !b.at.IsZero() {
		b.tokens += float64(now.Sub(b.at)) / float64(period)
	}
	b.at = now
	b.tokens = min(b.tokens, pushBurst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (t *Table) pushNews(now time.Time) {
	if !t.news || len(t.peers().up) == 0 || !t.push.take(now, t.cfg.Period) {
		return
	}
	t.news = false
	var asked []*record
	for range t.cfg.FanOut {
		if r := t.pick(asked); r != nil {
			asked = append(asked, r)
			t.gossip(now, r)
		}
	}
}
