package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/memory"
)

// Size of the simulated VM, and the step of the simulation.
const (
	simConns     = 400
	simMemory    = 16 << 20
	simConn      = 8 << 10
	simCores     = 0.5
	simStep      = 5 * time.Millisecond
	simTime      = 10 * time.Second
	simReconnect = 20 * time.Millisecond
	simBefore    = 2 * time.Second        // without the crowd
	simRequest   = 100 * time.Microsecond // processor time of a request
)

// habit is how a client uses a connection.
type habit struct {
	name    string
	clients int
	sources int // addresses
	class   Class
	head    int64         // bytes of a head
	serve   time.Duration // time for which a request is served; 0 if it never ends
	body    bool          // requests never arrive completely
	unread  bool          // responses are never read
	waste   bool          // requests are of no use
	idle    bool          // no requests are sent
	pause   time.Duration // between two requests
	renew   bool          // each request has its own connection
	fresh   bool          // each connection has its own address
	lag     time.Duration // from a new connection to its request
}

// client is a client with its connection.
type client struct {
	habit
	number  int
	address string
	id      ID   // 0 without a connection
	delayed bool // its request waits for processor time
	busy    bool
	next    time.Time // of its next step
	conns   int
}

// simulation plays clients against a Budget in virtual time.
type simulation struct {
	c       *qt.C
	b       *Budget
	now     time.Time
	clients []*client
	owners  map[ID]*client
	work    time.Duration // of requests of no use
	// counts of events by the name of the habit
	served, refused, evicted, cut, delayed map[string]int
}

func newSimulation(c *qt.C) *simulation {
	return &simulation{
		c: c, now: time.Unix(1_000_000, 0), owners: make(map[ID]*client),
		b: New(Config{
			Memory: memory.Config{Limit: simMemory, Start: 64 << 10, WaitCharge: 128 << 10, Conns: simMemory / 4},
			Conns:  simConns, Conn: simConn, Cores: simCores,
		}),
		served: make(map[string]int), refused: make(map[string]int), evicted: make(map[string]int), cut: make(map[string]int), delayed: make(map[string]int),
	}
}

func (s *simulation) add(h habit) {
	for i := range h.clients {
		s.clients = append(s.clients, &client{habit: h, number: i, address: fmt.Sprint(h.name, i%h.sources), next: s.now})
	}
}

// drop notes connections that were evicted.
func (s *simulation) drop(ids []ID) {
	for _, id := range ids {
		o := s.owners[id]
		s.evicted[o.name]++
		if o.busy && !o.body && !o.unread {
			s.cut[o.name]++
		}
		delete(s.owners, id)
		o.id, o.busy, o.delayed, o.next = 0, false, false, s.now.Add(simReconnect)
	}
}

func (s *simulation) play(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for _, k := range s.clients {
			if !s.now.Before(k.next) {
				s.step(k)
			}
		}
		conns := int64(0)
		for _, class := range Classes() {
			conns += s.b.Usage(class).Conns
		}
		s.c.Assert(conns <= simConns, qt.IsTrue)
		u := s.b.Memory.Usage()
		s.c.Assert(u.Conns <= simMemory/4+simMemory/4, qt.IsTrue, qt.Commentf("%+v", u))
	}
}

// step plays the next step of a client.
func (s *simulation) step(k *client) {
	switch {
	case k.id == 0:
		if k.conns++; k.fresh {
			k.address = fmt.Sprint(k.name, k.number, "-", k.conns)
		}
		id, evicted := s.b.Connect(s.now, k.class, k.address)
		s.drop(evicted)
		if id == 0 {
			s.refused[k.name]++
			k.next = s.now.Add(simReconnect)
			return
		}
		k.id = id
		s.owners[id] = k
		if k.lag > 0 {
			k.next = s.now.Add(k.lag)
			return
		}
	case k.busy:
		s.finish(k)
		return
	}
	if k.idle {
		k.next = s.now.Add(time.Hour)
		return
	}
	if k.delayed {
		s.begin(k)
		return
	}
	evicted, ok := s.b.Hold(s.now, k.id, k.head)
	s.drop(evicted)
	if !ok {
		s.refused[k.name]++
		s.disconnect(k)
		return
	}
	if delay := s.b.Work(s.now, k.id, simRequest, simRequest/2); delay > 0 {
		s.delayed[k.name]++
		k.delayed, k.next = true, s.now.Add(delay)
		return
	}
	s.begin(k)
}

// begin passes the request of a client to its handler.
func (s *simulation) begin(k *client) {
	k.delayed = false
	if k.waste {
		s.work += simRequest
	}
	if s.b.Begin(k.id, !k.body); k.unread {
		s.b.Write(s.now, k.id)
	}
	k.busy, k.next = true, s.now.Add(k.serve)
	if k.serve == 0 {
		k.next = s.now.Add(time.Hour)
	}
}

// finish ends the request of a client.
func (s *simulation) finish(k *client) {
	s.b.End(s.now, k.id, !k.body, !k.waste)
	s.b.Free(s.now, k.id, k.head)
	s.served[k.name]++
	k.busy, k.next = false, s.now.Add(k.pause)
	if k.renew {
		s.disconnect(k)
	}
}

func (s *simulation) disconnect(k *client) {
	s.b.Disconnect(s.now, k.id)
	delete(s.owners, k.id)
	k.id, k.next = 0, s.now.Add(max(k.pause, simStep))
}

// Guards against crowds that keep other callers, checks or look-ups from being served, whatever they
// hold: connections, heads, responses or processor time.
func TestCrowds(t *testing.T) {
	tests := []struct {
		name  string
		crowd habit
	}{
		{"idle", habit{clients: 2000, sources: 2000, idle: true}},
		{"idle from few addresses", habit{clients: 2000, sources: 3, idle: true}},
		{"idle at the checks", habit{clients: 2000, sources: 200, idle: true, class: Checks}},
		{"idle at the entries' listener", habit{clients: 2000, sources: 200, idle: true, class: Entries}},
		{"heads that never end", habit{clients: 300, sources: 300, head: 1 << 20, body: true}},
		{"heads that never end, at the look-ups", habit{clients: 300, sources: 300, head: 1 << 20, body: true, class: Lookups}},
		{"bodies that never end", habit{clients: 1000, sources: 200, head: 16 << 10, body: true}},
		{"responses that are never read", habit{clients: 1000, sources: 200, head: 16 << 10, unread: true}},
		{"requests of no use", habit{clients: 300, sources: 300, head: 1 << 10, serve: simStep, waste: true}},
		{"requests of no use on new connections", habit{clients: 300, sources: 300, head: 1 << 10, serve: simStep, waste: true, renew: true}},
		{"requests of no use from one address", habit{clients: 300, sources: 1, head: 1 << 10, serve: simStep, waste: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(qt.New(t))
			ordinary := habit{clients: 20, sources: 20, head: 5 << 10, serve: 30 * time.Millisecond, pause: 50 * time.Millisecond}
			kept, renewed, shared, few, fresh, checks, lookups, entries := ordinary, ordinary, ordinary, ordinary, ordinary, ordinary, ordinary, ordinary
			kept.name = "kept"
			renewed.name, renewed.renew = "renewed", true
			shared.name, shared.sources = "shared", 1
			few.name, few.clients, few.sources, few.renew, few.serve, few.lag = "few", 8, 1, true, simStep, 40*time.Millisecond
			fresh.name, fresh.renew, fresh.fresh = "fresh", true, true
			checks.name, checks.clients, checks.class, checks.renew = "checks", 2, Checks, true
			lookups.name, lookups.clients, lookups.class, lookups.renew = "lookups", 2, Lookups, true
			entries.name, entries.class = "entries", Entries
			list := []habit{kept, renewed, shared, few, fresh, checks, lookups, entries}
			for _, h := range list {
				s.add(h)
			}
			s.play(simBefore)
			tt.crowd.name = "crowd"
			s.add(tt.crowd)
			s.play(simTime)
			t.Logf("served %v, refused %v, evicted %v, delayed %v, work of no use %v", s.served, s.refused, s.evicted, s.delayed, s.work)
			for _, h := range list {
				possible := h.clients * int((simBefore+simTime)/(h.lag+h.serve+h.pause+2*simStep))
				s.c.Check(s.served[h.name] >= possible*9/10, qt.IsTrue, qt.Commentf("%s: %d of %d", h.name, s.served[h.name], possible))
				s.c.Check(s.cut[h.name], qt.Equals, 0, qt.Commentf("%s", h.name))
				s.c.Check(s.delayed[h.name], qt.Equals, 0, qt.Commentf("%s", h.name))
			}
			most := simTime.Seconds()*simCores/workPart[Traffic] + 2*owedTime.Seconds()*simCores/workPart[Traffic]
			s.c.Check(s.work.Seconds() <= most, qt.IsTrue, qt.Commentf("%v of at most %v s", s.work, most))
		})
	}
}

// Guards against refusals, evictions and delays where there is room.
func TestRoomForAll(t *testing.T) {
	s := newSimulation(qt.New(t))
	s.add(habit{name: "idle", clients: 100, sources: 100, idle: true})
	s.add(habit{name: "busy", clients: 100, sources: 1, head: 16 << 10, serve: 20 * time.Millisecond, pause: 20 * time.Millisecond})
	s.add(habit{name: "waste", clients: 3, sources: 3, head: 16 << 10, serve: 20 * time.Millisecond, pause: 20 * time.Millisecond, waste: true})
	s.play(simTime)
	for _, counts := range []map[string]int{s.refused, s.evicted, s.delayed} {
		s.c.Assert(counts, qt.HasLen, 0)
	}
}

// Guards against work of a crowd that has left, and of one that stays, which makes a caller wait far
// longer than its part of the processor takes.
func TestPaceBesideCrowd(t *testing.T) {
	const (
		late  = 1500 * time.Microsecond // by which pauses are too long
		cost  = 25 * time.Microsecond   // of a part of a body
		parts = 12_000
		crowd = 200
	)
	tests := []struct {
		name  string
		stays bool
		most  time.Duration
	}{
		{"left", false, 5 * time.Second},
		// It shares a quarter of half of a core with the crowd.
		{"stays", true, time.Duration(1.5 * parts * cost.Seconds() / simCores * 4 * crowd * float64(time.Second))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSimulation(qt.New(t))
			ids := make([]ID, crowd)
			for i := range ids {
				ids[i], _ = s.b.Connect(s.now, Traffic, fmt.Sprint("crowd", i))
			}
			for range 20 {
				for _, id := range ids {
					s.b.Work(s.now, id, time.Millisecond, 0)
				}
			}
			next := make([]time.Time, crowd)
			id, _ := s.b.Connect(s.now, Traffic, "caller")
			if !tt.stays {
				for _, id := range ids {
					s.b.Disconnect(s.now, id)
				}
			}
			began := s.now
			for range parts {
				s.now = s.now.Add(cost)
				if delay := s.b.Work(s.now, id, cost, 0); delay > 0 {
					s.now = s.now.Add(delay + late)
				}
				for i, id := range ids {
					if tt.stays && !s.now.Before(next[i]) {
						next[i] = s.now.Add(s.b.Work(s.now, id, cost, 0) + late)
					}
				}
			}
			took := s.now.Sub(began)
			t.Logf("%v of at most %v", took, tt.most)
			s.c.Assert(took <= tt.most, qt.IsTrue, qt.Commentf("%v of at most %v", took, tt.most))
		})
	}
}

// Guards against heads of many lines, which are served, that take the processor of others.
func TestPaceOfServedHeads(t *testing.T) {
	const lines = 5 * time.Millisecond // of processor time
	s := newSimulation(qt.New(t))
	id, _ := s.b.Connect(s.now, Traffic, "caller")
	other, _ := s.b.Connect(s.now, Traffic, "other")
	work, began := time.Duration(0), s.now
	for s.now.Sub(began) < simTime {
		delay := s.b.Work(s.now, id, simRequest+lines, lines)
		s.now = s.now.Add(delay + simRequest + lines)
		work += simRequest + lines
		s.b.Begin(id, true)
		s.b.End(s.now, id, true, true)
		s.c.Assert(s.b.Work(s.now, other, simRequest, simRequest/2), qt.Equals, time.Duration(0))
		s.b.Begin(other, true)
		s.b.End(s.now, other, true, true)
	}
	most := (simTime + 2*owedTime).Seconds() * simCores / workPart[Traffic] * float64(lines) / float64(lines-maxHeadRefund[Traffic]) * 1.2
	s.c.Assert(work.Seconds() <= most, qt.IsTrue, qt.Commentf("%v of at most %v s", work, most))
}

// Guards against requests for metrics, and checks with large heads, from many addresses that take the
// processor of others, as each is served.
func TestPaceOfServedChecks(t *testing.T) {
	const callers = 200
	tests := []struct {
		class Class
		head  time.Duration
	}{{Operators, 0}, {Checks, simRequest}, {Lookups, simRequest}}
	for _, tt := range tests {
		t.Run(tt.class.String(), func(t *testing.T) {
			s := newSimulation(qt.New(t))
			ids, next := make([]ID, callers), make([]time.Time, callers)
			for i := range ids {
				ids[i], _ = s.b.Connect(s.now, tt.class, fmt.Sprint(i))
			}
			work := time.Duration(0)
			for end := s.now.Add(simTime); s.now.Before(end); s.now = s.now.Add(simStep) {
				for i, id := range ids {
					if id == 0 || s.now.Before(next[i]) {
						continue
					}
					next[i] = s.now.Add(max(s.b.Work(s.now, id, simRequest, tt.head), 20*time.Millisecond))
					work += simRequest
					s.b.Begin(id, true)
					s.b.End(s.now, id, true, true)
				}
			}
			// A part of the work for a head is cancelled.
			most := 2 * (simTime + 2*owedTime).Seconds() * simCores / workPart[tt.class]
			s.c.Assert(work.Seconds() <= most, qt.IsTrue, qt.Commentf("%v of at most %v s", work, most))
		})
	}
}
