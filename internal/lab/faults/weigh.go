package faults

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/ring"
)

// Sizes of the comparison of ways to run a key once.
const (
	weighEntries = 14
	weighFrom    = 30 * time.Second // the ring has settled
	weighTo      = 90 * time.Second
	weighFault   = 40 * time.Second
	weighSpan    = 30 * time.Second
	storeRate    = 300 // writes a second that the platform takes
	leaseTime    = 10 * time.Second
	leaseRenew   = 3 * time.Second
)

// way is one design for running a key once. It marks a try as granted when the
// request may run.
type way interface {
	name() string
	start(w *world)
	request(n *node, t *try)
}

// condition is what holds from weighFault on for weighSpan.
type condition struct {
	name  string
	rate  int // keyed requests a second
	begin func(w *world)
	end   func(w *world)
}

var conditions = []condition{
	{name: "100 a second", rate: 100},
	{name: "500 a second", rate: 500},
	{name: "store down", rate: 100, begin: func(w *world) { w.store.down = true }, end: func(w *world) { w.store.down = false }},
	{name: "store slow", rate: 100, begin: func(w *world) { w.store.slow = 500 * time.Millisecond }, end: func(w *world) { w.store.slow = 0 }},
	{name: "entry dies", rate: 100, begin: func(w *world) { w.nodes[3].dead = true }},
	{name: "entry paused", rate: 100, begin: func(w *world) { w.nodes[3].paused = true }, end: func(w *world) { w.nodes[3].resume() }},
}

// Weigh compares the ways and prints, for each condition, the writes a second
// at the store, the time added before the dispatch in milliseconds, and the
// share of the requests that could not be granted within a second.
func Weigh(seed uint64, out io.Writer) (err error) {
	defer func() { err = errors.WithMessage(err, "weigh") }()
	table := tablewriter.NewWriter(out)
	table.SetHeader([]string{"condition", "way", "writes/s", "p50 ms", "p99 ms", "refused %"})
	table.SetAutoWrapText(false)
	for _, c := range conditions {
		for _, y := range []way{&creating{}, &owning{}, &quorum{}} {
			table.Append(append([]string{c.name, y.name()}, weigh(seed, c, y)...))
		}
	}
	table.Render()
	return nil
}

func weigh(seed uint64, c condition, y way) []string {
	w := build(seed, weighEntries)
	y.start(w)
	if c.begin != nil {
		w.after(nil, weighFault, func() { c.begin(w) })
	}
	if c.end != nil {
		w.after(nil, weighFault+weighSpan, func() { c.end(w) })
	}
	writes := 0
	w.after(nil, weighFrom, func() { writes = w.counts.Writes })
	w.after(nil, weighTo, func() { writes = w.counts.Writes - writes })
	gap := time.Second / time.Duration(c.rate)
	for i := range int((weighTo - weighFrom) / gap) {
		w.after(nil, weighFrom+time.Duration(i)*gap, func() { w.weighed(y, i) })
	}
	w.run()
	return w.figures(writes)
}

// weighed sends one request to an entry that answers callers.
func (w *world) weighed(y way, i int) {
	n := pick(w, w.alive())
	for n.paused {
		n = pick(w, w.alive())
	}
	t := &try{key: fmt.Sprintf("order-%d", i), print: 1, node: n, began: w.now}
	w.tries = append(w.tries, t)
	w.after(n, 0, func() { y.request(n, t) })
}

func (w *world) figures(writes int) []string {
	var added []float64
	refused := 0
	for _, t := range w.tries {
		wait := t.granted - t.began
		if t.granted == 0 || wait > patience {
			refused++
			continue
		}
		added = append(added, float64(wait.Microseconds())/1000)
	}
	slices.Sort(added)
	at := func(q float64) string {
		if len(added) == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f", added[int(q*float64(len(added)-1))])
	}
	return []string{
		fmt.Sprintf("%.2f", float64(writes)/(weighTo-weighFrom).Seconds()),
		at(0.5),
		at(0.99),
		fmt.Sprintf("%.1f", 100*float64(refused)/float64(len(w.tries))),
	}
}

// grant lets a request run; a second is the longest that it would have waited.
func (w *world) grant(t *try) bool {
	if t.granted == 0 && w.now-t.began <= patience {
		t.granted = w.now
		return true
	}
	return false
}

// creating writes one object for each run and writes it again with the outcome.
type creating struct{ free time.Duration }

func (*creating) name() string { return "create in the store" }

func (*creating) start(*world) {}

func (c *creating) request(n *node, t *try) {
	c.write(n, func(ok bool) {
		if ok && n.w.grant(t) {
			n.w.after(n, service2/2, func() { c.write(n, func(bool) {}) })
		}
	})
}

// write waits for its turn: the store takes storeRate writes a second.
func (c *creating) write(n *node, done func(ok bool)) {
	w := n.w
	c.free = max(c.free, w.now) + time.Second/storeRate
	if c.free-w.now > storeBound || w.store.down {
		c.free -= time.Second / storeRate
		w.after(n, storeBound, func() { done(false) })
		return
	}
	w.counts.Writes++
	w.after(n, c.free-w.now+storeDelay+w.store.slow, func() { done(true) })
}

// owning gives each key to the first live entry of its order. Each entry holds
// a lease in the store; the owner copies a claim to the second entry before it
// grants it.
type owning struct{ until map[string]time.Duration }

func (*owning) name() string { return "owner with a lease" }

func (o *owning) start(w *world) {
	o.until = make(map[string]time.Duration)
	for _, n := range w.nodes {
		w.after(n, w.between(0, leaseRenew), func() { o.renew(n) })
	}
}

func (o *owning) renew(n *node) {
	w := n.w
	w.after(n, leaseRenew, func() { o.renew(n) })
	if w.store.down {
		return
	}
	asked := w.now
	w.counts.Writes++
	w.after(n, storeDelay+w.store.slow, func() { o.until[n.self.Name] = asked + leaseTime })
}

// owners gives the entries with a lease in a key's order.
func (o *owning) owners(w *world, key string) []ring.Member {
	var live []ring.Member
	for _, n := range w.nodes {
		if o.until[n.self.Name] > w.now {
			live = append(live, n.self)
		}
	}
	return ring.Replicas(live, service, key)
}

func (o *owning) request(n *node, t *try) {
	set := o.owners(n.w, t.key)
	if len(set) < 2 {
		return
	}
	second := func(owner *node, done func(bool)) {
		rpc(n.w, owner, set[1], func(*node) bool { return true }, func(copied, ok bool) { done(copied && ok) })
	}
	if set[0].Ident == n.self.Ident {
		second(n, func(ok bool) { _ = ok && n.w.grant(t) })
		return
	}
	// The owner answers once its own call is over, so the reply is a message of
	// its own.
	rpc(n.w, n, set[0], func(m *node) bool {
		second(m, func(ok bool) {
			if ok {
				n.w.send(m.self.Name, n.self.Name, func(*node) { n.w.grant(t) })
			}
		})
		return true
	}, func(bool, bool) {})
}

// quorum is the way of pkg/claim.
type quorum struct{}

func (*quorum) name() string { return "majority of three" }

func (*quorum) start(*world) {}

func (*quorum) request(n *node, t *try) { n.request(t, 5*time.Second) }
