// Package memory decides who may use the memory of a VM that callers and targets fill: request
// bodies, buffered responses and connections.
//
// A Budget is one bound in bytes for all of them. A body starts with a few bytes that need no
// decision. To hold more it needs a reservation of all that it has yet to receive, so that bodies
// with a reservation can always be completed. Reservations go to the bodies that will be complete
// first by the rate at which their callers send; a slow sender doesn't keep room from others by the
// length that it declares. Bodies without a reservation wait. Those that can't be complete in
// time, or that block each other, are refused, the nearly complete ones last.
//
// The package does no I/O and reads no clock.
package memory

import (
	"time"
)

// Config of a Budget.
type Config struct {
	Limit int64 // bytes for all that is charged
	// Start is how many bytes of a body may be held without a reservation, while all such starts
	// fit into a part of the limit.
	Start int64
	// WaitCharge is how many bytes may arrive unread on the connection of a body that waits.
	WaitCharge int64
	// Conns is how many bytes are kept for connections and heads, beside Limit.
	Conns int64
}

const (
	// startPart is the part of the limit that is kept for the starts of bodies, as a divisor. Small
	// bodies find room there while large ones fill the rest.
	startPart = 8
	// largeStartPart is the part of these starts that those of large bodies may take.
	largeStartPart = 2
	// waitPart is the part of the limit that is kept for bodies that wait, as a divisor. If more of
	// them waited, their unread bytes would take the room that they wait for.
	waitPart = 12
	// connPart is the part of the limit that connections and heads may take beside what is kept for
	// them, while there is room, as a divisor.
	connPart = 4
)

// Estimate of the size of bodies whose length is unknown.
const (
	firstUsual  = 32 // the first estimate is the limit divided by this
	usualWeight = 8  // a complete body changes the estimate by the difference divided by this
)

// Sizes of the parts in which a body is read, in bytes.
const (
	minPart = 4 << 10
	maxPart = 64 << 10
)

// NextPart returns how many bytes of a body to ask room for if it holds some already. Small bodies
// and slow callers take little.
func NextPart(held int64) int64 {
	return min(max(held, minPart), maxPart)
}

// ID identifies a body in a Budget.
type ID uint64

// Body describes a body that is about to be read.
type Body struct {
	Caller   string // client account, or address of the caller; callers share the limit fairly
	Length   int64  // bytes; negative if unknown
	Max      int64  // bytes that a body of unknown length may have
	Deadline time.Time
}

// Verdict is a decision about a body.
type Verdict int

// Verdicts.
const (
	Wait   Verdict = iota // for a later decision of Plan
	Grant                 // the bytes may be held
	Refuse                // the body can't be held
)

// Cause is why a body was refused.
type Cause int

// Causes.
const (
	TooLarge Cause = iota // it can never be held
	Full                  // there is no room for its unread bytes while it waits
	Late                  // it can't be complete before its deadline
	Slow                  // the same, and another body needs the room that it holds
	Blocked               // no body that waits could be completed, and it was the last of them
)

var causeNames = [...]string{TooLarge: "toolarge", Full: "full", Late: "late", Slow: "slow", Blocked: "blocked"}

// String returns the name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns all causes.
func Causes() []Cause { return []Cause{TooLarge, Full, Late, Slow, Blocked} }

// Decision is a Verdict about one body. A refused body is closed.
type Decision struct {
	ID         ID
	Verdict    Verdict
	Cause      Cause         // if refused
	RetryAfter time.Duration // if refused; 0 if a later attempt is refused too
}

// Budget divides memory. It isn't safe for concurrent use.
type Budget struct {
	cfg         Config
	allocations map[ID]*allocation
	callers     map[string]*callerUse // of callers with large bodies
	lastID      ID
	held        int64 // bytes of bodies
	starts      int64 // bytes of bodies without a reservation
	larges      int64 // of these, bytes of large bodies
	reserved    int64 // bytes that bodies may still receive by their reservations
	buffered    int64 // bytes of responses
	conns       int64 // bytes of connections and heads
	waiting     int64 // bodies
	usual       int64 // size in bytes of bodies of unknown length, by the complete ones
	planned     time.Time
	pending     []Decision // for the next Plan
	releases    releaseRate
}

// New returns a Budget without any use.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, allocations: make(map[ID]*allocation), callers: make(map[string]*callerUse), usual: cfg.Limit / firstUsual}
}

// Usage is the current use of a Budget.
type Usage struct {
	Limit    int64 // bytes
	Held     int64 // bytes of bodies and responses
	Waiting  int64 // bodies that wait
	Conns    int64 // bytes of connections and heads
	Reserved int64 // bytes that are kept for bodies under way
}

// Usage returns the current use.
func (b *Budget) Usage() Usage {
	return Usage{Limit: b.cfg.Limit, Held: b.held + b.buffered, Waiting: b.waiting, Conns: b.conns, Reserved: b.reserved}
}

// used returns the bytes that are charged, without reservations.
func (b *Budget) used() int64 {
	return b.held + b.buffered + max(b.conns-b.cfg.Conns, 0) + b.waiting*b.cfg.WaitCharge
}

// unreserved returns the bytes that are neither used, nor reserved, nor kept for the starts of
// bodies and for those that wait.
func (b *Budget) unreserved() int64 {
	kept := max(b.cfg.Limit/startPart-b.starts, 0) + b.cfg.Limit/waitPart - b.waiting*b.cfg.WaitCharge
	return b.cfg.Limit - b.used() - b.reserved - kept
}

// reservable returns the bytes of the limit that may be reserved at all.
func (b *Budget) reservable() int64 {
	return b.cfg.Limit - b.cfg.Limit/startPart - b.cfg.Limit/waitPart
}

// Buffer charges bytes of a response, if there is room. Return gives them back.
func (b *Budget) Buffer(bytes int64) bool {
	if bytes > b.unreserved() {
		return false
	}
	b.buffered += bytes
	return true
}

// Return ends the charge of bytes of a response.
func (b *Budget) Return(now time.Time, bytes int64) {
	b.buffered -= bytes
	b.releases.add(now, bytes)
}

// Charge charges bytes of connections and heads, if there is room: in what is kept for them, and
// then in a part of the limit that nothing else needs. spare bytes are left for others. Release ends
// the charge.
func (b *Budget) Charge(bytes, spare int64) bool {
	beyond := b.conns + bytes + spare - b.cfg.Conns
	if beyond > b.cfg.Limit/connPart || min(beyond, bytes+spare) > max(b.unreserved(), 0) {
		return false
	}
	b.conns += bytes
	return true
}

// Release ends the charge of bytes of connections and heads.
func (b *Budget) Release(now time.Time, bytes int64) {
	beyond := max(b.conns-b.cfg.Conns, 0)
	b.conns -= bytes
	if freed := beyond - max(b.conns-b.cfg.Conns, 0); freed > 0 {
		b.releases.add(now, freed)
	}
}

// Open adds a body. It is refused if it can never be held.
func (b *Budget) Open(now time.Time, body Body) Decision {
	if body.Length > b.reservable() {
		return Decision{Verdict: Refuse}
	}
	b.lastID++
	c := &allocation{Body: body, id: b.lastID, opened: now}
	b.allocations[b.lastID] = c
	b.addCaller(c)
	return Decision{ID: b.lastID, Verdict: Grant}
}

// Extend asks for room for further bytes of a body, which has received all bytes that it got room
// for before. After Wait, Plan decides.
func (b *Budget) Extend(now time.Time, id ID, bytes int64) Decision {
	c := b.allocations[id]
	if c == nil {
		return Decision{ID: id, Verdict: Refuse}
	}
	c.pause(now)
	switch {
	case c.reserved == 0 && b.startFits(c, bytes):
		b.addStart(c, bytes)
		b.give(now, c, bytes)
	case bytes <= c.reserved:
		c.reserved -= bytes
		b.reserved -= bytes
		b.use(c, -bytes)
		b.give(now, c, bytes)
	default:
		return b.compete(now, c, bytes)
	}
	return Decision{ID: id, Verdict: Grant}
}

// compete reserves room for the rest of a body, or lets it wait.
func (b *Budget) compete(now time.Time, c *allocation, bytes int64) Decision {
	b.unreserve(c)
	c.asked = bytes
	if c.Length < 0 && c.held >= b.usual {
		b.usual += (c.held + c.held/outgrown - b.usual) / usualWeight
	}
	if need := c.need(b.usual); b.waiting == 0 && need <= b.unreserved() {
		b.reserve(c, need)
		return b.Extend(now, c.id, bytes)
	}
	if (b.waiting+1)*b.cfg.WaitCharge > b.cfg.Limit/waitPart {
		last := b.lastWaiting(now, c)
		d := b.refuse(now, last, Full)
		if last == c {
			return d
		}
		b.pending = append(b.pending, d)
	}
	c.waiting, c.waitingSince = true, now
	b.waiting++
	return Decision{ID: c.id, Verdict: Wait}
}

// startFits reports whether a body may hold further bytes without a reservation.
func (b *Budget) startFits(c *allocation, bytes int64) bool {
	starts := b.cfg.Limit / startPart
	switch {
	case c.held+bytes > b.cfg.Start, b.starts+bytes > starts, bytes > b.cfg.Limit-b.used()-b.reserved:
		return false
	}
	return !c.large(b.cfg.Start) || b.larges+bytes <= starts/largeStartPart
}

// addStart counts bytes that a body holds without a reservation; a negative number ends that.
func (b *Budget) addStart(c *allocation, bytes int64) {
	c.start += bytes
	b.starts += bytes
	if c.large(b.cfg.Start) {
		b.larges += bytes
	}
}

// give lets a body hold further bytes.
func (b *Budget) give(now time.Time, c *allocation, bytes int64) {
	c.held += bytes
	b.held += bytes
	b.use(c, bytes)
	c.resume(now)
}

func (b *Budget) reserve(c *allocation, bytes int64) {
	c.reserved = bytes
	b.reserved += bytes
	b.use(c, bytes)
	b.addStart(c, -c.start)
}

func (b *Budget) unreserve(c *allocation) {
	b.reserved -= c.reserved
	b.use(c, -c.reserved)
	c.reserved = 0
}

func (b *Budget) stopWaiting(c *allocation) {
	if c.waiting {
		c.waiting = false
		b.waiting--
	}
}

// Complete notes that a body has been received. It stays held until Close.
func (b *Budget) Complete(id ID) {
	if c := b.allocations[id]; c != nil {
		b.unreserve(c)
		c.complete = true
		if c.Length < 0 && c.held > b.cfg.Start {
			b.usual += (c.held - b.usual) / usualWeight
		}
	}
}

// Close ends the charge of a body.
func (b *Budget) Close(now time.Time, id ID) {
	c := b.allocations[id]
	if c == nil {
		return
	}
	b.unreserve(c)
	b.stopWaiting(c)
	b.held -= c.held
	b.removeCaller(c)
	b.addStart(c, -c.start)
	b.releases.add(now, c.held)
	delete(b.allocations, id)
}

// refuse ends a body that can't be held.
func (b *Budget) refuse(now time.Time, c *allocation, cause Cause) Decision {
	d := Decision{ID: c.id, Verdict: Refuse, Cause: cause, RetryAfter: b.retryAfter(now, c)}
	b.Close(now, c.id)
	return d
}
