package gateway

import (
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
)

// Times of membership. Each entry asks two others a round, so that what it sends
// and hears stays the same however many there are.
const (
	// roundPeriod is the time between rounds. With the two below, an entry that
	// dies is out of callers' answers within 0.25 + 0.2 + 0.25 s and the time in
	// which the word of it spreads.
	roundPeriod = 250 * time.Millisecond
	// askTime is how long an answer may take: entries are milliseconds apart, and a
	// VM that has used up its processor time stands still for up to 100 ms.
	askTime = 200 * time.Millisecond
	// reachTime is how long a ping by way of another entry may take.
	reachTime = 250 * time.Millisecond
	// suspicionTime is how long a suspect of 16 entries has to object. Callers are
	// sent elsewhere meanwhile.
	suspicionTime = 600 * time.Millisecond
	// forgetAfter is how long a dead entry is tried again. A VM that is cut off or
	// frozen for a while is told of what it missed as soon as it is back.
	forgetAfter = 2 * time.Minute
	// leftAfter is how long one that has stopped is kept in mind, so that late word
	// of it revives nothing.
	leftAfter = time.Minute
	// aloneAfter is the silence of all others after which an entry reckons only with
	// itself: several rounds.
	aloneAfter = 4 * roundPeriod
)

const (
	// fanOut is how many others are told of news at once. With three, word passes
	// to 94 in 100 that way and to the rest in the next round.
	fanOut = 3
	// messageRoom is how many bytes of entries fit into a packet beside the rest.
	messageRoom = 900
	// bulkBuckets is from how many differing buckets of 64 on all that another entry
	// knows is fetched: a message has room for the lists of a few.
	bulkBuckets = 8
	// maxNumbers is how many hosts' numbers of owners a message carries.
	maxNumbers = 8
)

// memberConfig is that of the table that knows the other entries.
func (g *Gateway) memberConfig() member.Config {
	return member.Config{
		Self: member.Entry{
			ID: member.ID{Name: g.self.Name, Boot: g.self.Boot}, Since: g.started, Caller: g.self.Front, Peer: g.self.Peer,
			Place: g.self.Place, Region: g.self.Region, Capacity: g.self.Capacity,
		},
		Seeds: g.otherSeeds(), Period: roundPeriod, Timeout: askTime, Relay: reachTime, Suspicion: suspicionTime,
		ForgetDead: forgetAfter, ForgetLeft: leftAfter, FanOut: fanOut, Room: messageRoom, Bulk: bulkBuckets, Sole: true,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// otherSeeds are the seeds of the settings but for this entry.
func (g *Gateway) otherSeeds() (list []string) {
	for _, address := range g.cfg.Settings.Seeds {
		if address != g.self.Peer {
			list = append(list, address)
		}
	}
	return list
}

// seed tells whether the others are told to turn to this entry at their start.
func (g *Gateway) seed() bool {
	return len(g.otherSeeds()) < len(g.cfg.Settings.Seeds)
}

// awaited is an exchange whose answer is awaited.
type awaited struct {
	exchange uint64
	until    time.Time
}

// drive gives an event to the table and does what follows from it. The reply to a
// request goes to from, with the request's number.
func (c *control) drive(now time.Time, ev member.Event, from string, exchange uint64) {
	for _, a := range c.members.Handle(now, ev) {
		switch a := a.(type) {
		case member.Send:
			c.awaits = append(c.awaits, awaited{a.Exchange, now.Add(a.Timeout)})
			c.send(a.To.Address, c.packet(now, relay.Ask, a.Exchange, a.Message))
		case member.Reach:
			c.awaits = append(c.awaits, awaited{a.Exchange, now.Add(a.Timeout)})
			c.send(a.Via.Address, relay.Packet{Kind: relay.Reach, Exchange: a.Exchange, Target: a.Target.Address})
		case member.Reply:
			c.send(from, c.packet(now, relay.Answer, exchange, a.Message))
		case member.Changed:
			c.roll = nil
		case member.Fetch:
			c.fetch(now, a.From.Address)
		case member.Learned:
			c.learned(now, a.Rumours)
		case member.Marked, member.Behind, member.Superseded:
			// Marks are compared as each packet is heard, and Sole rules out the last.
		}
	}
}

func (c *control) packet(now time.Time, kind relay.Kind, exchange uint64, m member.Message) relay.Packet {
	return relay.Packet{
		Kind: kind, Exchange: exchange, Message: m, Knowledge: c.knowledge(now), Numbers: c.numbers.Next(maxNumbers, len(m.Sums) > 0 || m.Join),
	}
}

// knowledge is what this entry tells of what it has in force.
func (c *control) knowledge(now time.Time) relay.Knowledge {
	return relay.Knowledge{
		Config: c.config.Version, Targets: c.targets.Moved(),
		ConfigAge: now.Sub(c.confirmed[dutyConfig]), TargetsAge: now.Sub(c.confirmed[dutyTargets]),
	}
}

func (c *control) send(to string, p relay.Packet) {
	if err := c.gateway.relay.Send(to, p); err != nil {
		c.gateway.log.WithError(err).Debug("packet not sent")
	}
}

// rounds lets the table do what its time has come for.
func (c *control) rounds(now time.Time) {
	kept := c.awaits[:0]
	var over []uint64
	for _, a := range c.awaits {
		if now.Before(a.until) {
			kept = append(kept, a)
		} else {
			over = append(over, a.exchange)
		}
	}
	c.awaits = kept
	for _, exchange := range over {
		c.drive(now, member.NoAnswer{Exchange: exchange}, "", 0)
	}
	if !now.Before(c.members.Next()) {
		c.drive(now, member.Tick{}, "", 0)
	}
}

// next is when rounds is needed again.
func (c *control) next() time.Time {
	at := c.members.Next()
	for _, a := range c.awaits {
		if a.until.Before(at) {
			at = a.until
		}
	}
	return at
}

func (c *control) answered(exchange uint64) {
	for i, a := range c.awaits {
		if a.exchange == exchange {
			c.awaits = append(c.awaits[:i], c.awaits[i+1:]...)
			return
		}
	}
}

// packetHeard is a packet of another entry.
type packetHeard struct {
	packet relay.Packet
	from   string
}

func (m packetHeard) apply(now time.Time, c *control) {
	p := m.packet
	switch p.Kind {
	case relay.Ask:
		c.waits(m.from, p.Knowledge)
		c.drive(now, member.Request{Message: p.Message}, m.from, p.Exchange)
	case relay.Answer:
		c.answered(p.Exchange)
		c.drive(now, member.Answer{Exchange: p.Exchange, Message: p.Message}, "", 0)
	case relay.Reached:
		c.answered(p.Exchange)
		c.drive(now, member.Reached{Exchange: p.Exchange, ID: p.ID}, "", 0)
		return
	case relay.Loads:
		c.loads[p.ID.Name] = loadsHeard{now, p.Loads}
		return
	case relay.Suspects:
		c.gateway.suspects.Merge(now, p.ID.Name, p.Suspects)
		return
	}
	for _, n := range p.Numbers {
		if c.numbers.Hear(n) {
			c.recount = true
		}
	}
	c.knows(now, m.from, p.Knowledge)
}

// knows takes what another entry has in force.
func (c *control) knows(now time.Time, from string, k relay.Knowledge) {
	if c.lacks(k) {
		c.newest, c.newestAt = k, from
		c.pull(from)
	}
	if k.Config == c.config.Version {
		c.vouched(now, dutyConfig, k.ConfigAge)
	}
	if k.Targets == c.targets.Moved() {
		c.vouched(now, dutyTargets, k.TargetsAge)
	}
}

// mostWaiting is how many entries that asked while this one knew nothing are told
// as soon as it does. Each then pulls what is known, which for 700 targets takes
// 20 ms of a link of 20 Mbit/s; the others hear of it from these.
const mostWaiting = 16

// waits notes an entry that knows nothing, while this one doesn't either.
func (c *control) waits(address string, k relay.Knowledge) {
	if c.config.Version == 0 && k.Config == 0 && len(c.waiting) < mostWaiting {
		c.waiting[address] = true
	}
}

// spread tells others that this entry has something newer in force.
func (c *control) spread(now time.Time) {
	for address := range c.waiting {
		c.send(address, relay.Packet{Kind: relay.Tell, Knowledge: c.knowledge(now)})
	}
	if c.config.Version != 0 && c.targets.Moved() != 0 {
		clear(c.waiting)
	}
	c.drive(now, member.Revised{Marks: member.Marks{
		Settings: uint64(c.config.Version), Targets: uint64(c.targets.Moved()),
	}}, "", 0)
}

// vouch tells those next in the order of readers what the store has just
// confirmed: they take over when they hear nothing of it for longer, and it would
// reach them with the rounds only after half a second and more.
func (c *control) vouch(now time.Time, d duty) {
	for _, e := range c.order[d] {
		if e.Name != c.gateway.self.Name {
			c.send(e.Peer, relay.Packet{Kind: relay.Tell, Knowledge: c.knowledge(now)})
		}
	}
}

// live are the entries that callers may be sent to, this one among them while it
// doesn't stop.
func (c *control) live() []owner.Candidate {
	if c.roll == nil {
		c.enlist()
	}
	return c.roll
}

// enlist works out what depends on which entries live alone.
func (c *control) enlist() {
	c.roll = []owner.Candidate{}
	var readers []owner.Candidate
	for e := range c.members.Entries() {
		if e.State != member.Alive {
			continue
		}
		o := owner.Candidate{Entry: ownerOf(e), Strained: e.Strained}
		c.roll = append(c.roll, o)
		if !e.Shut {
			readers = append(readers, o)
		}
	}
	if len(readers) == 0 {
		readers = c.roll
	}
	for d := range duties {
		c.order[d] = owner.Order(readers, dutyNames[d], fastReaders)
		c.rank[d] = owner.Rank(readers, dutyNames[d], c.gateway.self.Name)
	}
	c.deal = nil
}

func ownerOf(e member.Entry) owner.Entry {
	return owner.Entry{
		Name: e.ID.Name, Boot: e.ID.Boot, Front: e.Caller, Peer: e.Peer, Place: e.Place, Region: e.Region, Capacity: e.Capacity,
	}
}

// alone tells whether no other entry has been heard for long, though there are
// some: then this one is cut off, and does all by itself.
func (c *control) alone(now time.Time) bool {
	return len(c.live()) > 1 && now.Sub(later(c.members.Heard(), c.started)) > aloneAfter
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// feel tells the others how well this entry works.
func (c *control) feel(now time.Time) {
	c.drive(now, member.Feel{Condition: member.Condition{Strained: c.strain.strained(now), Shut: c.shut}}, "", 0)
}

// leaves is told when this entry begins to stop.
type leaves struct{}

func (leaves) apply(now time.Time, c *control) { c.drive(now, member.Leave{}, "", 0) }

// departs is told when it has served its last request.
type departs struct{}

func (departs) apply(now time.Time, c *control) { c.drive(now, member.Depart{}, "", 0) }

// learned takes requests in quarantine that other entries have told of.
func (c *control) learned(now time.Time, r member.Rumours) {
	for _, s := range r.Crashers {
		seen := call.Suspect{Print: s.Print, Crashes: int(s.Crashes), Age: now.Sub(s.At)}
		c.gateway.suspects.Merge(now, s.By, []call.Suspect{seen})
	}
}

// tellSuspects tells the others of crashes of targets that this entry has seen
// since it last did. Where their caller sends such a request again it comes to an
// owner, so that only these are told of each; that one is in quarantine is told to
// all. With each told to all 472 entries, a fault of 105 targets made half of all
// packets' bytes.
func (c *control) tellSuspects(now time.Time) {
	var rumours member.Rumours
	var news []call.Suspect
	for _, s := range c.gateway.suspects.Export(now, maxSuspects) {
		held := c.gateway.suspects.Quarantined(now, s.Print) > 0
		if held {
			s.Crashes = crashLimit
		}
		told, ok := c.suspects[s.Print]
		if ok && told == s.Crashes {
			continue
		}
		c.suspects[s.Print] = s.Crashes
		news = append(news, s)
		if held || told == crashLimit {
			rumours.Crashers = append(rumours.Crashers, c.crasher(now, s))
		}
	}
	if len(c.suspects) > maxTold {
		clear(c.suspects)
	}
	if len(rumours.Crashers) > 0 {
		c.drive(now, member.Tell{Rumours: rumours}, "", 0)
	}
	if len(news) == 0 {
		return
	}
	for _, e := range c.otherOwners() {
		c.send(e.Peer, relay.Packet{Kind: relay.Suspects, Suspects: news, ID: c.id()})
	}
}

func (c *control) crasher(now time.Time, s call.Suspect) member.Crasher {
	c.said++
	return member.Crasher{
		Print: s.Print, Crashes: uint32(s.Crashes), At: now.Add(-s.Age), By: c.gateway.self.Name, Sequence: c.gateway.self.Boot + c.said,
	}
}

// otherOwners are the owners of any host but for this entry.
func (c *control) otherOwners() (list []owner.Entry) {
	seen := map[string]bool{c.gateway.self.Name: true}
	for _, entries := range c.owners {
		for _, e := range entries {
			if !seen[e.Name] {
				seen[e.Name] = true
				list = append(list, e)
			}
		}
	}
	return list
}

func (c *control) id() member.ID {
	return member.ID{Name: c.gateway.self.Name, Boot: c.gateway.self.Boot}
}

const (
	// maxSuspects is how many suspects are looked through for news at a time.
	maxSuspects = 16
	// maxTold bounds what is kept of suspects that were told of; beyond that they
	// are told once more.
	maxTold = 4096
)
