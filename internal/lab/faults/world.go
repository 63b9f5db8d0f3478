package faults

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Sizes of one run.
const (
	entries = 6
	keys    = 24
	horizon = 150 * time.Second

	lateHorizon = 330 * time.Second // of a run with a lasting fault
)

var (
	epoch  = time.UnixMilli(1_800_000_000_000).UTC()
	places = [...]string{"fremantle-hall", "subiaco-hall", "joondalup-hall"}
)

// world is one run in virtual time: entries, network, store and targets.
type world struct {
	rand   *rand.Rand
	now    time.Duration
	queue  queue
	order  uint64
	bounds ring.Config
	nodes  []*node // every incarnation there was
	gone   []death
	store  store
	net    network
	target targets
	tries  []*try
	counts Counts

	horizon time.Duration
}

// death is an incarnation that the VM list no longer shows from a time on.
type death struct {
	id ring.Ident
	at time.Duration
}

// event is something that happens in a process, or outside of all where node
// is nil.
type event struct {
	at    time.Duration
	order uint64
	node  *node
	do    func()
}

func build(seed uint64, size int) *world {
	w := &world{
		rand:    rand.New(rand.NewPCG(seed, 0)),
		bounds:  ring.Default(),
		horizon: horizon,
		target:  targets{runs: make(map[string]int), budget: call.NewBudget(call.BudgetConfig{})},
	}
	w.bounds.Retention = 10 * time.Minute
	for i := range size {
		w.start(fmt.Sprintf("e%d", i), places[i%len(places)])
	}
	return w
}

// after schedules do in a process. A process that is paused does it when it
// goes on, one that has died never.
func (w *world) after(n *node, d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, n, do})
}

func (w *world) run() {
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > w.horizon {
			return
		}
		w.now = e.at
		switch {
		case e.node == nil:
			e.do()
		case e.node.dead:
		case e.node.paused:
			e.node.backlog = append(e.node.backlog, e.do)
		default:
			e.do()
		}
	}
}

// between draws a duration.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rand.Int64N(int64(high-low)+1))
}

func (w *world) chance(p float64) bool {
	return w.rand.Float64() < p
}

// alive gives the processes that exist, paused ones included.
func (w *world) alive() (out []*node) {
	for _, n := range w.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// named gives the process that listens at the address of a name.
func (w *world) named(name string) *node {
	for _, n := range w.nodes {
		if !n.dead && n.self.Name == name {
			return n
		}
	}
	return nil
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
