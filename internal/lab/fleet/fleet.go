// Package fleet runs the membership tables of many entries in virtual time over
// a network in memory. Messages pass through the real codec, so that their sizes
// are true; entries can be lost, paused, cut off and restarted.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/pkg/member"
)

// Config builds a Fleet.
type Config struct {
	Entries  int
	Places   int           // spread over the regions in turn
	Regions  int           // at least 1
	Seed     uint64        // of all randomness
	Near     time.Duration // one way within a region; 0.5 ms
	Far      time.Duration // one way between regions; 40 ms
	Overhead int           // bytes of HTTP for each message of either direction
	Fetch    int           // bytes of the answer to a fetch of settings
	Member   member.Config // periods and timeouts; the rest is filled in
}

// Fleet is a set of entries and the network between them.
type Fleet struct {
	cfg   Config
	now   time.Time
	queue queue
	seq   uint64
	cut   func(a, b *Node) bool
	Nodes []*Node

	byPeer map[string]*Node
}

// Node is one entry of the fleet.
type Node struct {
	Entry      member.Entry
	Table      *member.Table
	View       member.View // as of its last change
	Marks      member.Marks
	Traffic    Traffic
	Learned    member.Rumours
	Superseded int

	index   int
	up      bool
	paused  bool
	backlog []member.Event
	fetches bool
	wake    uint64 // number of the tick that counts
}

// Traffic is what a node sent and received, HTTP included, and the processor
// time that its decisions and codecs took.
type Traffic struct {
	Messages int
	In       int64
	Out      int64
	Busy     time.Duration
	Largest  int
}

// Start is the virtual time at which every fleet starts.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New gives a fleet whose entries are all down.
func New(cfg Config) *Fleet {
	if cfg.Near == 0 {
		cfg.Near = 500 * time.Microsecond
	}
	if cfg.Far == 0 {
		cfg.Far = 40 * time.Millisecond
	}
	f := &Fleet{cfg: cfg, now: Start, cut: func(_, _ *Node) bool { return false }, byPeer: make(map[string]*Node)}
	for i := range cfg.Entries {
		place := i % cfg.Places
		f.Nodes = append(f.Nodes, &Node{index: i, Entry: member.Entry{
			ID:     member.ID{Name: fmt.Sprintf("entry-%03d", i)},
			Caller: fmt.Sprintf("10.%d.%d.%d:8080", place, i/250, i%250),
			Peer:   fmt.Sprintf("10.%d.%d.%d:8081", place, i/250, i%250),
			Place:  fmt.Sprintf("place-%02d", place),
			Region: fmt.Sprintf("region-%d", place%cfg.Regions),
		}})
		f.byPeer[f.Nodes[i].Entry.Peer] = f.Nodes[i]
	}
	return f
}

// Now gives the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Boot starts an entry, or starts it again with the next boot number. Its seeds
// are the first entry of each place.
func (f *Fleet) Boot(n *Node) {
	n.Entry.ID.Boot++
	n.Entry.Since = f.now
	cfg := f.cfg.Member
	cfg.Self = n.Entry
	cfg.Rand = rand.New(rand.NewPCG(f.cfg.Seed, uint64(n.index)<<20+n.Entry.ID.Boot))
	for _, s := range f.Nodes[:min(f.cfg.Places, len(f.Nodes))] {
		if s != n {
			cfg.Seeds = append(cfg.Seeds, s.Entry.Peer)
		}
	}
	n.Table = member.New(cfg)
	n.View = n.Table.View()
	n.up, n.paused, n.backlog, n.fetches = true, false, nil, false
	n.Marks, n.Learned = member.Marks{}, member.Rumours{}
	jitter := time.Duration(cfg.Rand.Float64() * float64(time.Second))
	f.tickAt(n, f.now.Add(jitter))
}

// BootAll starts every entry.
func (f *Fleet) BootAll() {
	for _, n := range f.Nodes {
		f.Boot(n)
	}
}

// Lose ends an entry as a lost VM does: nobody gets an answer, nor a refusal.
func (f *Fleet) Lose(n *Node) { n.up = false }

// Pause stops an entry; what reaches it waits.
func (f *Fleet) Pause(n *Node) { n.paused = true }

// Resume lets a paused entry go on.
func (f *Fleet) Resume(n *Node) {
	n.paused = false
	waiting := n.backlog
	n.backlog = nil
	for _, ev := range waiting {
		f.handle(n, ev)
	}
	f.tickAt(n, f.now)
}

// Cut sets between which entries nothing passes; nil heals the network.
func (f *Fleet) Cut(cut func(a, b *Node) bool) {
	if cut == nil {
		cut = func(_, _ *Node) bool { return false }
	}
	f.cut = cut
}

// Handle gives an event to an entry at the present time.
func (f *Fleet) Handle(n *Node, ev member.Event) {
	if r, ok := ev.(member.Revised); ok {
		n.Marks = r.Marks
	}
	f.handle(n, ev)
}

// Run lets virtual time pass.
func (f *Fleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil lets virtual time pass until done, which is asked every 50 ms, and
// gives the time that passed; d at the most.
func (f *Fleet) RunUntil(d time.Duration, done func() bool) time.Duration {
	const step = 50 * time.Millisecond
	start := f.now
	for f.now.Sub(start) < d {
		if done() {
			break
		}
		f.advance(f.now.Add(step))
	}
	return f.now.Sub(start)
}

func (f *Fleet) advance(to time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(to) {
		e := heap.Pop(&f.queue).(*timed)
		f.now = e.at
		e.do()
	}
	f.now = to
}

// All tells whether ok holds for the view of every entry that is up.
func (f *Fleet) All(ok func(*Node, member.View) bool) bool {
	for _, n := range f.Nodes {
		if n.up && !n.paused && !ok(n, n.View) {
			return false
		}
	}
	return true
}

// Agreed tells whether every entry that is up sees just these as serving.
func (f *Fleet) Agreed() bool {
	up, digest := 0, f.digest()
	for _, n := range f.Nodes {
		if n.up && !n.paused {
			up++
		}
	}
	return f.All(func(_ *Node, v member.View) bool {
		alive := 0
		for _, e := range v.Entries {
			if !e.State.Gone() && e.State != member.Suspect {
				alive++
			}
		}
		return alive == up && v.Digest == digest
	})
}

func (f *Fleet) digest() uint64 {
	for _, n := range f.Nodes {
		if n.up && !n.paused {
			return n.View.Digest
		}
	}
	return 0
}

// timed is something to do at a virtual time.
type timed struct {
	at  time.Time
	seq uint64
	do  func()
}

type queue []*timed

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*timed)) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (f *Fleet) at(t time.Time, do func()) {
	f.seq++
	heap.Push(&f.queue, &timed{at: t, seq: f.seq, do: do})
}
