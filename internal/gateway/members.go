package gateway

import (
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/member"
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

// drive gives an event to the table and does what follows from it.
func (c *control) drive(now time.Time, ev member.Event) {
	for _, a := range c.members.Handle(now, ev) {
		c.act(now, a)
	}
}

// reply gives another entry's message to the table and answers it.
func (c *control) reply(now time.Time, p relay.Packet, from string) {
	for _, a := range c.members.Handle(now, member.Request{Message: p.Message}) {
		if r, ok := a.(member.Reply); ok {
			c.send(from, c.packet(now, relay.Answer, p.Exchange, r.Message))
			continue
		}
		c.act(now, a)
	}
}

func (c *control) act(now time.Time, a member.Action) {
	switch a := a.(type) {
	case member.Send:
		c.awaits = append(c.awaits, awaited{a.Exchange, now.Add(a.Timeout)})
		c.send(a.To.Address, c.packet(now, relay.Ask, a.Exchange, a.Message))
	case member.Reach:
		c.awaits = append(c.awaits, awaited{a.Exchange, now.Add(a.Timeout)})
		c.send(a.Via.Address, relay.Packet{Kind: relay.Reach, Exchange: a.Exchange, Target: a.Target.Address})
	case member.Changed:
		c.roll = nil
		c.named()
		c.hearShut(now)
	case member.Fetch:
		c.fetch(now, a.From.Address)
	case member.Learned:
		c.learned(now, a.Rumours)
	case member.Reply, member.Marked, member.Behind, member.Superseded:
		// Only reply gets a Reply, marks are compared as each packet is heard, and
		// Sole rules out the last.
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
		Config: c.config.Version, Targets: c.targets.Moved(), Evacuations: c.evacuations.Moved(),
		ConfigAge: now.Sub(c.confirmed[dutyConfig]), TargetsAge: now.Sub(c.confirmed[dutyTargets]),
		EvacuationsAge: now.Sub(c.confirmed[dutyEvacuations]),
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
		c.drive(now, member.NoAnswer{Exchange: exchange})
	}
	if !now.Before(c.members.Next()) {
		c.drive(now, member.Tick{})
	}
	if at, ok := c.nextPull(); ok && !now.Before(at) {
		c.pullMore(now)
	}
}

// nextPull is when another entry is asked for news in place of one that owes an
// answer; ok is false where none is to be asked.
func (c *control) nextPull() (at time.Time, ok bool) {
	ok = c.pulling != "" && c.newestAt != c.pulling && c.lacks(c.newest)
	return c.pullAt.Add(pullPatience), ok
}

// next is when rounds is needed again.
func (c *control) next() time.Time {
	at := c.members.Next()
	for _, a := range c.awaits {
		if a.until.Before(at) {
			at = a.until
		}
	}
	if pull, ok := c.nextPull(); ok && pull.Before(at) {
		at = pull
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
		c.reply(now, p, m.from)
	case relay.Answer:
		c.answered(p.Exchange)
		c.drive(now, member.Answer{Exchange: p.Exchange, Message: p.Message})
	case relay.Reached:
		c.answered(p.Exchange)
		c.drive(now, member.Reached{Exchange: p.Exchange, ID: p.ID})
		return
	case relay.Loads:
		c.loads[p.ID.Name] = loadsHeard{now, p.Loads}
		return
	case relay.Suspects:
		c.hearSuspects(now, p.ID.Name, p.Suspects)
		return
	}
	for _, n := range p.Numbers {
		if c.numbers.Hear(n) {
			c.recount = true
		}
	}
	c.knows(now, m.from, p.Knowledge)
}

// feel tells the others how well this entry works.
func (c *control) feel(now time.Time) {
	c.drive(now, member.Feel{Condition: member.Condition{Strained: c.strain.strained(now), Shut: c.shut}})
}

// leaves is told when this entry begins to stop.
type leaves struct{}

func (leaves) apply(now time.Time, c *control) { c.drive(now, member.Leave{}) }

// departs is told when it has served its last request.
type departs struct{}

func (departs) apply(now time.Time, c *control) { c.drive(now, member.Depart{}) }

// named takes the name of this run, which changes where others know of a later
// start from before a clock went back.
func (c *control) named() {
	id := c.members.Self()
	c.gateway.run.Store(&id)
}
