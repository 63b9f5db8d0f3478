// Package fleet runs the membership tables of many entries in virtual time over
// an in-memory network. Messages pass through the real codec, so their sizes are
// exact. Entries can be lost, paused, partitioned and restarted.
package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/pkg/member"
)

// Config configures a Fleet.
type Config struct {
	Entries       int
	Places        int           // failure domains, assigned to the regions in turn
	Regions       int           // at least 1
	Seed          uint64        // seed of all random numbers
	NearDelay     time.Duration // one-way delay within a region; 0 means 0.5 ms
	FarDelay      time.Duration // one-way delay between regions; 0 means 40 ms
	HTTPOverhead  int           // bytes of HTTP added to each message in either direction
	SettingsBytes int           // bytes of the response to a pull of the settings
	Member        member.Config // periods and timeouts; Boot sets Self and Rand and adds to Seeds
}

// Fleet is a set of entries and the network between them.
type Fleet struct {
	cfg       Config
	now       time.Time
	queue     queue
	nextSeq   uint64
	separated func(a, b *Node) bool
	Nodes     []*Node

	byPeer map[string]*Node // by peer address
}

// Node is one entry of the fleet.
type Node struct {
	Entry      member.Entry
	Table      *member.Table
	View       member.View // at its last change
	Revisions  member.Revisions
	Traffic    Traffic
	Rumours    member.Rumours
	Superseded int // number of member.Superseded actions

	index    int
	up       bool
	paused   bool
	backlog  []member.Event // events received while paused
	pulling  bool           // a pull of settings is in progress
	lastTick uint64         // number of the latest scheduled tick; earlier ones are ignored
}

// Traffic counts what a node sent and received, including HTTP, and the real time
// that its decisions and codecs took.
type Traffic struct {
	Messages     int // sent
	BytesIn      int64
	BytesOut     int64
	HandlingTime time.Duration
	LargestBody  int // bytes of the largest message sent, without HTTP
}

// Start is the virtual time at which every fleet starts.
var Start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// New returns a fleet whose entries are all down.
func New(cfg Config) *Fleet {
	if cfg.NearDelay == 0 {
		cfg.NearDelay = 500 * time.Microsecond
	}
	if cfg.FarDelay == 0 {
		cfg.FarDelay = 40 * time.Millisecond
	}
	f := &Fleet{cfg: cfg, now: Start, separated: func(_, _ *Node) bool { return false }, byPeer: make(map[string]*Node)}
	for i := range cfg.Entries {
		place := i % cfg.Places
		f.Nodes = append(f.Nodes, &Node{index: i, Entry: member.Entry{
			ID:            member.ID{Name: fmt.Sprintf("entry-%03d", i)},
			CallerAddress: fmt.Sprintf("10.%d.%d.%d:8080", place, i/250, i%250),
			PeerAddress:   fmt.Sprintf("10.%d.%d.%d:8081", place, i/250, i%250),
			Place:         fmt.Sprintf("place-%02d", place),
			Region:        fmt.Sprintf("region-%d", place%cfg.Regions),
		}})
		f.byPeer[f.Nodes[i].Entry.PeerAddress] = f.Nodes[i]
	}
	return f
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time { return f.now }

// Boot starts an entry, or restarts it with the next boot number. Its seeds are
// the first entry of each failure domain.
func (f *Fleet) Boot(n *Node) {
	n.Entry.ID.Boot++
	n.Entry.Since = f.now
	cfg := f.cfg.Member
	cfg.Self = n.Entry
	cfg.Rand = rand.New(rand.NewPCG(f.cfg.Seed, uint64(n.index)<<20+n.Entry.ID.Boot))
	for _, s := range f.Nodes[:min(f.cfg.Places, len(f.Nodes))] {
		if s != n {
			cfg.Seeds = append(cfg.Seeds, s.Entry.PeerAddress)
		}
	}
	n.Table = member.New(cfg)
	n.View = n.Table.View()
	n.up, n.paused, n.backlog, n.pulling = true, false, nil, false
	n.Revisions, n.Rumours = member.Revisions{}, member.Rumours{}
	jitter := time.Duration(cfg.Rand.Float64() * float64(time.Second))
	f.scheduleTick(n, f.now.Add(jitter))
}

// BootAll starts every entry.
func (f *Fleet) BootAll() {
	for _, n := range f.Nodes {
		f.Boot(n)
	}
}

// Lose stops an entry as the loss of its VM does: a request to it gets neither a
// response nor a refused connection.
func (f *Fleet) Lose(n *Node) { n.up = false }

// Pause suspends an entry. Events for it are queued until Resume.
func (f *Fleet) Pause(n *Node) { n.paused = true }

// Resume continues a paused entry and delivers its queued events.
func (f *Fleet) Resume(n *Node) {
	n.paused = false
	queued := n.backlog
	n.backlog = nil
	for _, ev := range queued {
		f.deliver(n, ev)
	}
	f.scheduleTick(n, f.now)
}

// Partition drops all messages between the pairs of entries for which separated
// returns true. Nil ends the partition.
func (f *Fleet) Partition(separated func(a, b *Node) bool) {
	if separated == nil {
		separated = func(_, _ *Node) bool { return false }
	}
	f.separated = separated
}

// Handle delivers an event to an entry at the current virtual time.
func (f *Fleet) Handle(n *Node, ev member.Event) {
	if r, ok := ev.(member.SetRevisions); ok {
		n.Revisions = r.Revisions
	}
	f.deliver(n, ev)
}

// Run advances the virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil advances the virtual time until done returns true, by d at most, and
// returns the time that passed. It calls done every 50 ms.
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

// advance runs the scheduled calls up to a virtual time.
func (f *Fleet) advance(to time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(to) {
		call := heap.Pop(&f.queue).(*scheduledCall)
		f.now = call.at
		call.run()
	}
	f.now = to
}

// AllViews reports whether ok holds for the view of every entry that is up and
// not paused.
func (f *Fleet) AllViews(ok func(*Node, member.View) bool) bool {
	for _, n := range f.Nodes {
		if n.up && !n.paused && !ok(n, n.View) {
			return false
		}
	}
	return true
}

// Converged reports whether the views of all running entries agree. An entry is
// running if it is up and not paused. The views agree if they have the same digest
// and each shows as many entries as are running; those that are suspect or gone
// don't count.
func (f *Fleet) Converged() bool {
	up, digest := 0, f.digest()
	for _, n := range f.Nodes {
		if n.up && !n.paused {
			up++
		}
	}
	return f.AllViews(func(_ *Node, v member.View) bool {
		alive := 0
		for _, e := range v.Entries {
			if !e.State.Gone() && e.State != member.Suspect {
				alive++
			}
		}
		return alive == up && v.Digest == digest
	})
}

// digest returns the digest of the view of the first running entry, or 0.
func (f *Fleet) digest() uint64 {
	for _, n := range f.Nodes {
		if n.up && !n.paused {
			return n.View.Digest
		}
	}
	return 0
}

// scheduledCall is a call at a virtual time.
type scheduledCall struct {
	at  time.Time
	seq uint64
	run func()
}

type queue []*scheduledCall

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*scheduledCall)) }

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

// schedule adds a call at a virtual time. Calls at the same time run in the order
// in which they were added.
func (f *Fleet) schedule(t time.Time, run func()) {
	f.nextSeq++
	heap.Push(&f.queue, &scheduledCall{at: t, seq: f.nextSeq, run: run})
}
