package faults

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// Fault is one thing that goes wrong for a while.
type Fault uint8

// The faults. Restart brings the same name back with nothing remembered,
// replace another name.
const (
	restart Fault = iota
	restartTwo
	replace
	replaceTwo
	pause
	pauseTwo
	cutOff
	cutOffTwo
	lossy
	storeDown
	storeLosing
	storeSlow
	leave
	targetsCut
	targetsShed
	join
	cutOffTwoLong
	cutOffTwoForGood
	kinds
)

var faultNames = [kinds]string{
	"restart", "restart-two", "replace", "replace-two", "pause", "pause-two", "cut-off", "cut-off-two",
	"lossy", "store-down", "store-losing", "store-slow", "leave", "targets-cut", "targets-shed", "join",
	"cut-off-two-long", "cut-off-two-for-good",
}

// String names the fault.
func (f Fault) String() string {
	return faultNames[f]
}

const listLag = 15 * time.Second // longest lag of the VM list

// plan is a request that will be made; faults aim at some of them.
type plan struct {
	at    time.Duration
	key   string
	print uint64
}

// callers plans the requests: each key up to four times, some with a body that
// belongs to another request.
func (w *world) callers() (plans []plan) {
	for i := range keys {
		at := w.between(5*time.Second, 90*time.Second)
		key := w.key(i, at)
		for range 1 + w.rand.IntN(4) {
			p := plan{at: at, key: key, print: uint64(i + 1)}
			if w.chance(0.05) {
				p.print += keys
			}
			plans = append(plans, p)
			if w.chance(0.5) {
				at += w.between(0, 50*time.Millisecond)
			} else {
				at += w.between(0, 15*time.Second)
			}
		}
	}
	for _, p := range plans {
		w.after(nil, p.at, func() { w.request(p) })
	}
	return plans
}

// key gives a UUID of version 7 for half of the keys, by a clock that is off.
func (w *world) key(i int, at time.Duration) string {
	if i%2 == 0 {
		return fmt.Sprintf("order-%d", i)
	}
	return w.uuid(i, at)
}

func (w *world) uuid(i int, at time.Duration) string {
	ms := uint64(epoch.Add(at + w.between(-maxSkew, maxSkew)).UnixMilli())
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: byte(i)}
	for b := range 6 {
		id[b] = byte(ms >> (40 - 8*b))
	}
	return id.String()
}

// late plans requests of keys from after the loss that a lasting fault leaves.
func (w *world) late() {
	w.horizon = lateHorizon
	for i := keys; i < 2*keys; i++ {
		at := w.between(90*time.Second, lateHorizon-time.Minute)
		p := plan{at: at, key: w.uuid(i, at), print: uint64(i + 1)}
		for range 1 + w.rand.IntN(4) {
			w.after(nil, at, func() { w.request(p) })
			at += w.between(0, 5*time.Second)
		}
	}
}

func (w *world) request(p plan) {
	n := pick(w, w.alive())
	t := &try{key: p.key, print: p.print, node: n}
	w.tries = append(w.tries, t)
	limit := w.between(time.Second, 5*time.Second)
	w.after(n, oneWay, func() { n.request(t, limit) })
}

// strike schedules a fault. Half of them hit a request that is under way.
func (w *world) strike(f Fault, plans []plan) {
	at := w.between(10*time.Second, 60*time.Second)
	aim := pick(w, plans)
	if w.chance(0.5) {
		at = aim.at + w.between(0, 60*time.Millisecond)
	}
	w.after(nil, at, func() { w.begin(f, aim) })
}

func (w *world) begin(f Fault, aim plan) {
	span := w.between(time.Second, 45*time.Second)
	if w.now+span > 100*time.Second {
		span = time.Second
	}
	switch f {
	case restart, restartTwo, replace, replaceTwo:
		for _, n := range w.victims(f == restartTwo || f == replaceTwo, aim) {
			w.kill(n, f == replace || f == replaceTwo)
		}
	case pause, pauseTwo:
		for _, n := range w.victims(f == pauseTwo, aim) {
			n.paused = true
			w.after(nil, span, n.resume)
		}
	case cutOff, cutOffTwo:
		w.cut(w.victims(f == cutOffTwo, aim))
		w.after(nil, span, func() { w.net.cut = nil })
	case cutOffTwoLong:
		w.cut(w.victims(true, aim))
		w.after(nil, w.bounds.Forget+w.between(time.Second, 2*time.Minute), func() { w.net.cut = nil })
	case cutOffTwoForGood:
		w.cut(w.victims(true, aim))
	case leave:
		w.leave(w.victims(false, aim)[0])
	case join:
		w.start(fmt.Sprintf("j%d", len(w.nodes)), pick(w, places[:]))
	default:
		w.disturb(f, true)
		w.after(nil, span, func() { w.disturb(f, false) })
	}
}

func (w *world) cut(nodes []*node) {
	w.net.cut = make(map[string]bool)
	for _, n := range nodes {
		w.net.cut[n.self.Name] = true
	}
}

// lasting tells that a fault outlives Forget, so that entries are given up that
// are only cut off.
func (f Fault) lasting() bool {
	return f == cutOffTwoLong || f == cutOffTwoForGood
}

// disturb begins or ends a fault that isn't one of entries.
func (w *world) disturb(f Fault, on bool) {
	switch f {
	case lossy:
		w.net.loss, w.net.double, w.net.jitter = 0, 0, 0
		if on {
			w.net.loss, w.net.double, w.net.jitter = 0.2, 0.2, 300*time.Millisecond
		}
	case storeDown:
		w.store.down = on
	case storeLosing:
		w.store.losing = on
	case storeSlow:
		w.store.slow = 0
		if on {
			w.store.slow = 1500 * time.Millisecond
		}
	case targetsCut:
		w.target.cut = 0
		if on {
			w.target.cut = 0.5
		}
	case targetsShed:
		w.target.shed = 0
		if on {
			w.target.shed = 0.5
		}
	}
}

// victims gives one or two entries: replicas of the key that is aimed at, or
// any others.
func (w *world) victims(two bool, aim plan) (out []*node) {
	count := 1
	if two {
		count = 2
	}
	if w.chance(0.6) {
		for _, m := range w.replicas(aim.key) {
			if n := w.named(m.Name); n != nil && len(out) < count {
				out = append(out, n)
			}
		}
	}
	for len(out) < count {
		n := pick(w, w.alive())
		if len(out) == 0 || out[0] != n {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) kill(n *node, other bool) {
	n.dead = true
	name := n.self.Name
	if other {
		name = fmt.Sprintf("r%d", len(w.nodes))
		w.gone = append(w.gone, death{n.self.Ident, w.now + w.between(0, listLag)})
	}
	place := n.self.Place
	w.after(nil, w.between(100*time.Millisecond, 10*time.Second), func() { w.start(name, place) })
}

func (n *node) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	for _, do := range backlog {
		n.w.after(n, 0, do)
	}
}

// leave stops an entry in the planned way: it goes once no ring counts on it.
func (w *world) leave(n *node) {
	n.leaving = true
	var check func()
	check = func() {
		if n.ring.Revision > 0 && !n.ring.Has(n.self.Ident) && len(n.flights) == 0 {
			n.dead = true
			w.gone = append(w.gone, death{n.self.Ident, w.now + w.between(0, listLag)})
			return
		}
		w.after(n, tick, check)
	}
	w.after(n, tick, check)
}
