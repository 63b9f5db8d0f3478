// Package admission decides what callers may hold of a VM and do on it: connections with their
// descriptors, bytes, and processor time.
//
// A Budget charges all of these to callers, which are known by their addresses and
// the listeners that they use. As long as there is
// room, everything is admitted. At a bound, connections of the callers that hold the most for the
// longest time are closed first, in proportion to the requests of theirs that were served.
// Connections whose request is being served are kept. Each class of listeners has connections and
// bytes that the others can't take.
//
// The package does no I/O and reads no clock.
package admission

import (
	"time"

	"plumpitch.example/plumpitch/pkg/memory"
)

// Class is a class of listeners.
type Class int

// Classes.
const (
	Traffic   Class = iota // requests of callers
	Checks                 // readiness checks
	Lookups                // callers that ask which entries serve a host
	Entries                // calls of other entries
	Operators              // metrics and status
	classCount
)

var classNames = [...]string{Traffic: "traffic", Checks: "checks", Lookups: "lookups", Entries: "entries", Operators: "operators"}

// String returns the name in logs and metrics.
func (c Class) String() string { return classNames[c] }

// Classes returns all classes.
func Classes() []Class { return []Class{Traffic, Checks, Lookups, Entries, Operators} }

// keptPart is the part of the connections and of their bytes that is kept for a class, as a divisor.
// Traffic has the rest.
var keptPart = [classCount]int64{Checks: 16, Lookups: 16, Entries: 8, Operators: 16}

// Config of a Budget.
type Config struct {
	// Memory of bodies, responses and connections; Memory.Conns is for connections and heads.
	Memory memory.Config
	Conns  int64   // connections of all listeners
	Conn   int64   // bytes of a connection without a request
	Cores  float64 // processor time per second, in seconds; 0 means that it isn't bounded
	// Kernel is how many bytes the kernel may hold for all connections, unread by either side, and
	// ConnKernel for each without a window. Windows is how many bytes windows may have however many
	// connections there are.
	Kernel, ConnKernel, Windows int64
}

const (
	// smallHold is how many bytes a connection may hold out of what is spared by others.
	smallHold = 64 << 10
	// sparePart is the part of the bytes kept for connections that is spared, as a divisor.
	sparePart = 4
)

// ID identifies a connection in a Budget.
type ID uint64

// usage is what a class uses, and what is kept for it.
type usage struct {
	conns, keptConns int64
	bytes, keptBytes int64
}

// Budget divides a VM among callers. It isn't safe for concurrent use.
type Budget struct {
	Memory *memory.Budget // also decides about bodies

	cfg     Config
	conns   map[ID]*conn
	callers map[callerKey]*caller
	classes [classCount]usage
	lastID  ID
	victims victims
	work    [classCount]processor
	windows int64        // bytes
	wide    map[ID]*conn // connections with a window
}

// New returns a Budget without any use.
func New(cfg Config) *Budget {
	b := &Budget{Memory: memory.New(cfg.Memory), cfg: cfg, conns: make(map[ID]*conn), wide: make(map[ID]*conn), callers: make(map[callerKey]*caller)}
	for class, part := range keptPart {
		if part > 0 {
			u := &b.classes[class]
			u.keptConns, u.keptBytes = cfg.Conns/part, cfg.Memory.Conns/part
			b.Memory.Charge(u.keptBytes, 0)
		}
	}
	return b
}

// Connect admits a connection of a caller, or returns 0. The evicted connections have to be closed;
// their use has ended.
func (b *Budget) Connect(now time.Time, class Class, address string) (id ID, evicted []ID) {
	c := &conn{class: class, caller: b.callerOf(now, callerKey{class, address}), since: now}
	c.caller.conns++
	for !b.connFits(class) {
		v := b.victim(now, c, b.cfg.Conn)
		if v == nil {
			c.caller.conns--
			b.forget(now, c.caller)
			return 0, evicted
		}
		evicted = append(evicted, b.evict(now, v))
	}
	b.lastID++
	c.id = b.lastID
	b.conns[c.id] = c
	b.classes[class].conns++
	more, ok := b.hold(now, c, b.cfg.Conn)
	evicted = append(evicted, more...)
	if !ok {
		b.remove(now, c)
		return 0, evicted
	}
	return c.id, evicted
}

// Disconnect ends a connection. It does nothing if the connection was evicted.
func (b *Budget) Disconnect(now time.Time, id ID) {
	if c := b.conns[id]; c != nil {
		b.remove(now, c)
	}
}

// Hold charges bytes that a connection holds beside itself. It returns false if they can't be held;
// the connection then keeps what it has.
func (b *Budget) Hold(now time.Time, id ID, bytes int64) (evicted []ID, ok bool) {
	c := b.conns[id]
	if c == nil {
		return nil, false
	}
	return b.hold(now, c, bytes)
}

// Free ends the charge of bytes of a connection.
func (b *Budget) Free(now time.Time, id ID, bytes int64) {
	if c := b.conns[id]; c != nil {
		b.free(now, c, bytes)
	}
}

// connFits reports whether a class may have another connection beside what is kept for the others.
func (b *Budget) connFits(class Class) bool {
	sum := int64(0)
	for i, u := range b.classes {
		if Class(i) == class {
			u.conns++
		}
		sum += max(u.conns, u.keptConns)
	}
	return sum <= b.cfg.Conns
}

// hold charges bytes to a connection. It evicts others in its favour, unless it is the next one to
// be evicted itself.
func (b *Budget) hold(now time.Time, c *conn, bytes int64) (evicted []ID, ok bool) {
	u, spare := &b.classes[c.class], int64(0)
	if c.bytes+bytes > smallHold {
		spare = b.cfg.Memory.Conns / sparePart
	}
	for {
		beyond := max(u.bytes+bytes, u.keptBytes) - max(u.bytes, u.keptBytes)
		if beyond <= 0 || b.Memory.Charge(beyond, spare) {
			u.bytes += bytes
			c.bytes += bytes
			return evicted, true
		}
		v := b.victim(now, c, bytes)
		if v == nil {
			return evicted, false
		}
		evicted = append(evicted, b.evict(now, v))
	}
}

func (b *Budget) free(now time.Time, c *conn, bytes int64) {
	u := &b.classes[c.class]
	beyond := max(u.bytes, u.keptBytes) - max(u.bytes-bytes, u.keptBytes)
	u.bytes -= bytes
	c.bytes -= bytes
	b.Memory.Release(now, beyond)
}

// evict ends the use of a connection that has to be closed.
func (b *Budget) evict(now time.Time, c *conn) ID {
	c.caller.advance(now)
	c.caller.evicted++
	b.remove(now, c)
	return c.id
}

// remove ends the use of a connection.
func (b *Budget) remove(now time.Time, c *conn) {
	b.free(now, c, c.bytes)
	b.narrow(c)
	b.endSend(c)
	b.classes[c.class].conns--
	delete(b.conns, c.id)
	c.caller.conns--
	b.forget(now, c.caller)
}

// Usage is the current use of a class.
type Usage struct {
	Conns int64
	Bytes int64 // of connections and heads
}

// Usage returns the current use of a class.
func (b *Budget) Usage(class Class) Usage {
	u := b.classes[class]
	return Usage{Conns: u.conns, Bytes: u.bytes}
}
