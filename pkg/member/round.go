package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groups are the other entries that are not gone, grouped by distance.
type groups struct {
	reachable    []*record // all of them
	samePlace    []*record // own place
	sameRegion   []*record // other places of the own region
	otherRegions []*record // other regions
	ring         []*record // hash ring, in which each entry is watched by its predecessor
	watched      []*record // contacted in every round
}

// smallRegionEntries is the number of entries below which a region's entries are also
// watched from other regions.
const smallRegionEntries = 3

// largePlacePeers makes a place large: an entry with at least so many others in its own
// place watches only among these, since traffic between places costs money. If such a
// place fails as a whole, the random exchanges of the other entries detect it: each of
// 94 failed among 472 entries is contacted twice a round.
const largePlacePeers = 16

// Shares of the random exchanges by distance, in eighths. Other regions have the rest.
const (
	totalShares = 8
	placeShare  = 4
	regionShare = 2
)

func (t *Table) peerGroups() *groups {
	if t.groups == nil {
		t.groups = t.buildGroups()
	}
	return t.groups
}

func (t *Table) buildGroups() *groups {
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
		g.reachable = append(g.reachable, r)
		switch {
		case r.Region != t.self.Region:
			g.otherRegions = append(g.otherRegions, r)
		case r.Place != t.self.Place:
			g.sameRegion = append(g.sameRegion, r)
		default:
			g.samePlace = append(g.samePlace, r)
		}
	}
	g.watched = t.watchedPeers(g, regions)
	return g
}

// watchedPeers returns this entry's successor on the hash ring: each entry is
// contacted by its predecessor in every round, so that a death is detected within one
// period. The hash scatters the entries of a place, so that a failed place leaves few
// gaps of more than one entry. An entry in a small region is also watched by its
// predecessor among all regions.
func (t *Table) watchedPeers(g *groups, regions map[string]int) []*record {
	g.ring = g.samePlace
	if len(g.ring) < largePlacePeers {
		g.ring = append(slices.Clone(g.samePlace), g.sameRegion...)
	}
	watched := t.successors(g.ring, 1)
	for _, next := range t.successors(g.reachable, 1) {
		if regions[next.Region] < smallRegionEntries && !slices.Contains(watched, next) {
			watched = append(watched, next)
		}
	}
	return watched
}

// successors returns up to most entries of rs that follow this entry on the hash ring.
// It skips suspects, so that their successors stay watched meanwhile.
func (t *Table) successors(rs []*record, most int) (next []*record) {
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
	if now.Before(t.nextRound) || t.self.State == Left {
		return
	}
	t.nextRound = now.Add(t.jitter(t.cfg.Period))
	t.roundCount++
	t.followedUp = false
	t.contactSeeds(now)
	t.gossipRound(now)
	t.recheckDead(now)
}

// jitter varies a period by up to 10 % either way, so that entries that started
// together don't stay synchronized.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d + time.Duration((t.rand.Float64()-0.5)/5*float64(d))
}

func (t *Table) gossipRound(now time.Time) {
	peers := slices.Clone(t.peerGroups().watched)
	if r := t.pickPeer(peers); r != nil {
		peers = append(peers, r)
	}
	for _, r := range peers {
		t.gossip(now, r)
	}
}

// pickPeer returns a random entry that is not excluded, more often a near one.
func (t *Table) pickPeer(excluded []*record) *record {
	g := t.peerGroups()
	var from []*record
	switch n := t.rand.IntN(totalShares); {
	case n < placeShare:
		from = g.samePlace
	case n < placeShare+regionShare:
		from = g.sameRegion
	default:
		from = g.otherRegions
	}
	if r := t.pickFrom(from, excluded); r != nil {
		return r
	}
	return t.pickFrom(g.reachable, excluded)
}

func (t *Table) pickFrom(from, excluded []*record) *record {
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
// After that, every retryRounds rounds, it contacts a seed that isn't the address of a
// known entry, so that groups of entries that never met find each other.
func (t *Table) contactSeeds(now time.Time) {
	if t.joined && t.roundCount%retryRounds != 0 {
		return
	}
	unknown := t.unknownSeeds()
	if len(unknown) == 0 {
		return
	}
	t.join(now, unknown[t.rand.IntN(len(unknown))])
}

func (t *Table) unknownSeeds() []string {
	known := map[string]bool{t.self.PeerAddress: true}
	for _, r := range t.records {
		if t.joined && !r.State.Gone() {
			known[r.PeerAddress] = true
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
func (t *Table) recheckDead(now time.Time) {
	if t.verifySuspicion(now) {
		return
	}
	if !t.deadReturning && t.rand.IntN(retryRounds) != 0 {
		return
	}
	var dead []*record
	for _, r := range t.byName() {
		if r.State == Dead {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		t.deadReturning = false
		return
	}
	t.gossip(now, dead[t.rand.IntN(len(dead))])
}

// verifySuspicion sends the oldest unverified suspicion to the suspect and reports
// whether there was one.
func (t *Table) verifySuspicion(now time.Time) bool {
	for len(t.unverified) > 0 {
		d := t.unverified[0]
		t.unverified = t.unverified[1:]
		r, ok := t.records[d.ID.Name]
		if !ok || !d.newer(r.Entry) || r.State.Gone() {
			continue
		}
		m := t.newMessage(now, r.ID.Name)
		m.Entries = append([]Entry{d.summary()}, m.Entries...)
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
type tokenBucket struct {
	tokens   float64
	refilled time.Time
}

func (b *tokenBucket) allow(now time.Time, period time.Duration) bool {
	if !b.refilled.IsZero() {
		b.tokens += float64(now.Sub(b.refilled)) / float64(period)
	}
	b.refilled = now
	b.tokens = min(b.tokens, pushBurst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (t *Table) pushChanges(now time.Time) {
	if !t.pushPending || len(t.peerGroups().reachable) == 0 || !t.pushBudget.allow(now, t.cfg.Period) {
		return
	}
	t.pushPending = false
	var peers []*record
	for range t.cfg.FanOut {
		if r := t.pickPeer(peers); r != nil {
			peers = append(peers, r)
			t.gossip(now, r)
		}
	}
}

func (t *Table) pushTo(now time.Time, names []string) {
	for _, name := range names {
		if r := t.records[name]; r != nil && r != t.self && !r.State.Gone() {
			t.gossip(now, r)
		}
	}
}
