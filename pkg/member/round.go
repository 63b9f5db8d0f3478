package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groups are the other entries that are not gone, grouped by distance.
type groups struct {
	up      []*record // all of them
	place   []*record // own place
	region  []*record // other places of the own region
	far     []*record // other regions
	near    []*record // hash ring, in which each entry is watched by its predecessor
	watched []*record // contacted in every round
}

// smallRegionEntries is the number of entries below which a region's entries are also
// watched from other regions.
const smallRegion = 3

// largePlacePeers is the number of other entries in a place from which they watch only
// each other, since traffic between places costs money. If such a place fails as a
// whole, the random exchanges of the others detect it: each of 94 failed among 472
// entries is contacted twice a round.
const largePlace = 16

// Shares of the random exchanges by distance, in eighths. Other regions have the rest.
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

// watchedPeers returns this entry's successor on the hash ring: each entry is
// contacted by its predecessor in every round, so that a death is detected within one
// period. The hash scatters the entries of a place, so that a failed place leaves few
// gaps of more than one entry. An entry in a small region is also watched by its
// predecessor among all regions.
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

// successors returns up to most entries of rs that follow this entry on the hash ring.
// It skips suspects, so that their successors stay watched meanwhile.
func (t *Table) after(rs []*record, most int) (next []*record) {
	own := xxhash.Sum64String(t.self.ID.Name)
	distance := func(r *record) uint64 { return r.hash - own }
	for _, r := range rs {
		if r.State == Suspect {
			continue
		}
		i := len(next)
		for i > 0 && distance(r) < distance(next[i-1]) {
			i--
		}
		if i == most {
			continue
		}
		next = slices.Insert(next, i, r)[:min(len(next)+1, most)]
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

// jitter varies a period by up to 10 % either way, so that entries that started
// together don't stay synchronized.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d + time.Duration((t.rand.Float64()-0.5)/5*float64(d))
}

func (t *Table) exchangeRound(now time.Time) {
	peers := slices.Clone(t.peers().watched)
	if r := t.pick(peers); r != nil {
		peers = append(peers, r)
	}
	for _, r := range peers {
		t.gossip(now, r)
	}
}

// pickPeer returns a random entry that is not excluded, more often a near one.
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
	var candidates []*record
	for _, r := range from {
		if !slices.Contains(excluded, r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[t.rand.IntN(len(candidates))]
}

// contactSeeds sends a join to a random seed in every round until one has responded.
// After that it contacts a seed that is no known entry's address every retryRounds
// rounds, so that groups of entries that never met find each other.
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

// recheckDead verifies an old suspicion, if there is one. Otherwise it contacts a
// random dead entry, on average every retryRounds rounds, or in every round while dead
// entries respond.
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

// verifySuspicion sends the oldest unverified suspicion to the suspect and reports
// whether there was one.
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

// pushBurst is the number of pushes that may follow each other directly. A push sends
// changes at once instead of in the next round.
const (
	pushBurst = 3
)

// tokenBucket limits pushes to one per period, with a burst of pushBurst.
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
	var peers []*record
	for range t.cfg.FanOut {
		if r := t.pick(peers); r != nil {
			peers = append(peers, r)
			t.gossip(now, r)
		}
	}
}
