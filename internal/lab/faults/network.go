package faults

import (
	"time"

	"plumpitch.example/plumpitch/pkg/ring"
)

const (
	oneWay     = 500 * time.Microsecond
	callBound  = time.Second
	storeDelay = 3 * time.Millisecond
	storeBound = 2 * time.Second
)

// network is what can go wrong between entries.
type network struct {
	loss   float64       // of a message
	double float64       // of a message that arrives twice
	jitter time.Duration // up to which messages overtake each other
	cut    map[string]bool
}

// split tells whether a cut lies between two entries.
func (n *network) split(a, b string) bool {
	return n.cut[a] != n.cut[b]
}

func (w *world) delay() time.Duration {
	return oneWay + w.between(0, oneWay) + w.between(0, w.net.jitter)
}

func (w *world) lost(a, b string) bool {
	return w.net.split(a, b) || w.chance(w.net.loss)
}

// send delivers a message once, twice or never.
func (w *world) send(from, to string, deliver func(*node)) {
	if w.lost(from, to) {
		return
	}
	copies := 1
	if w.chance(w.net.double) {
		copies = 2
	}
	for range copies {
		if n := w.named(to); n != nil {
			w.after(n, w.delay(), func() { deliver(n) })
		}
	}
}

// rpc calls whatever process listens at the address of to. done is called once:
// with the reply, or without when it takes too long.
func rpc[R any](w *world, from *node, to ring.Member, serve func(*node) R, done func(reply R, ok bool)) {
	over := false
	finish := func(r R, ok bool) {
		if !over {
			over = true
			done(r, ok)
		}
	}
	var none R
	if w.named(to.Name) == nil {
		w.after(from, 2*oneWay, func() { finish(none, false) })
		return
	}
	w.after(from, callBound, func() { finish(none, false) })
	w.send(from.self.Name, to.Name, func(n *node) {
		reply := serve(n)
		if w.lost(to.Name, from.self.Name) {
			return
		}
		w.after(from, w.delay(), func() { finish(reply, true) })
	})
}

// store is the platform's object of the ring.
type store struct {
	document []byte
	version  uint64
	down     bool
	losing   bool // writes take effect and their answers are lost
	slow     time.Duration
}

func (w *world) get(n *node, done func(document []byte, version uint64, ok bool)) {
	if w.store.down {
		w.after(n, storeBound, func() { done(nil, 0, false) })
		return
	}
	document, version := w.store.document, w.store.version
	w.after(n, storeDelay+w.store.slow, func() { done(document, version, true) })
}

func (w *world) put(n *node, document []byte, version uint64, done func(ok bool)) {
	if w.store.down {
		w.after(n, storeBound, func() { done(false) })
		return
	}
	losing := w.store.losing
	w.after(nil, storeDelay+w.store.slow, func() {
		ok := version == w.store.version
		if ok {
			w.store.document = document
			w.store.version++
			w.counts.Writes++
		}
		w.after(n, oneWay, func() { done(ok && !losing) })
	})
}
