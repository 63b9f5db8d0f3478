package guard

import (
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/pkg/admission"
)

const (
	// reservedFiles is how many descriptors the platform keeps for files.
	reservedFiles = 200
	// callerFiles is the part of the other descriptors that connections of callers may take. The rest
	// is for connections to targets, other entries and the store.
	callerFiles = 0.75
	// unknownFiles is taken for the descriptors if the settings don't tell them.
	unknownFiles = 1024
	// idleReceiveBuffer bounds the unread bytes of a connection until a large body is read. The kernel
	// doubles it for its own data and holds up to 24 KiB.
	idleReceiveBuffer = 16 << 10
	unreadCharge      = 24 << 10
	// idleSendBuffer bounds the bytes that a caller hasn't read until it gets a large response. The
	// kernel doubles it and holds up to 18 KiB.
	idleSendBuffer = 16 << 10
	unsentCharge   = 18 << 10
	// sendBuffer bounds them for a large response, and entrySendBuffer for one to another entry, which
	// may be far away and has half a second for a reply of up to 8 MiB.
	sendBuffer       = 64 << 10
	entrySendBuffer  = 512 << 10
	connKernelCharge = unreadCharge + unsentCharge
)

// Charges of heads in bytes, for the raw and the parsed form.
const (
	headByteCharge = 2
	headLineCharge = 400
)

// Charges of processor time, for one core of the usual kind. A byte of a body is read and written.
const (
	connWork    = 50 * time.Microsecond // to accept and close a connection
	readWork    = 5 * time.Microsecond
	byteWork    = time.Nanosecond
	headWork    = 3 * time.Nanosecond // of a byte of a head, beside its lines
	requestWork = 50 * time.Microsecond
	lineWork    = 2 * time.Microsecond // of a head, with the collection of what it leaves
	// chunkLineWork is for each of the two lines of a chunk.
	chunkLineWork = 20 * time.Nanosecond
)

// maxConns returns how many connections of callers a VM may have.
func maxConns(memory, files int64) int64 {
	if files <= 0 {
		files = unknownFiles
	}
	byFiles := int64(callerFiles * float64(max(files-reservedFiles, 0)))
	return min(byFiles, int64((kernelShare-windowShare)*float64(memory))/connKernelCharge)
}

// counters count what a guard refuses, by class.
type counters struct {
	connsRefused classCounters // connections that weren't admitted
	connsEvicted classCounters // connections that were closed for lack of room
	headsRefused classCounters // requests whose heads found no room
	workDelayed  classCounters // reads that were delayed
	// windowsRefused are large bodies and responses that got no larger buffer.
	windowsRefused classCounters
}

type classCounters map[admission.Class]tally.Counter

func newCounters(scope tally.Scope) counters {
	count := func(name string) classCounters {
		byClass := make(classCounters)
		for _, class := range admission.Classes() {
			byClass[class] = scope.Tagged(map[string]string{"class": class.String()}).Counter(name)
		}
		return byClass
	}
	return counters{count("connections_refused"), count("connections_evicted"), count("heads_refused"), count("work_delayed"), count("windows_refused")}
}

// At returns the guard of the connections of a class.
func (g *Guard) At(class admission.Class) callers.Guard { return classGuard{g, class} }

// classGuard implements callers.Guard.
type classGuard struct {
	*Guard
	class admission.Class
}

// Connect implements callers.Guard.
func (g classGuard) Connect(address string, a callers.Actions) callers.Lease {
	now := time.Now()
	g.mu.Lock()
	id, evicted := g.budget.Connect(now, g.class, address)
	evicts := g.takeEvicted(now, evicted, g.class)
	g.narrow(g.budget.WindowsFit)
	if id == 0 {
		g.counters.connsRefused[g.class].Inc(1)
		g.logLack(now, "no room for a connection", g.class)
	} else {
		g.conns[id] = a
		g.budget.Work(now, id, connWork, 0)
	}
	g.mu.Unlock()
	for _, evict := range evicts {
		evict()
	}
	if id == 0 {
		return nil
	}
	return lease{g, id}
}

// takeEvicted returns the functions that close the connections that were evicted for one of a class.
// The caller must hold g.mu.
func (g *Guard) takeEvicted(now time.Time, ids []admission.ID, class admission.Class) (evicts []func()) {
	for _, id := range ids {
		evicts = append(evicts, g.conns[id].Evict)
		delete(g.conns, id)
	}
	if len(ids) > 0 {
		g.counters.connsEvicted[class].Inc(int64(len(ids)))
		g.plan(now)
	}
	return evicts
}

// narrow ends windows of connections at rest until fits reports true, and reports whether it did. The
// caller must hold g.mu.
func (g *Guard) narrow(fits func() bool) bool {
	for !fits() {
		id := g.budget.Resting()
		if id == 0 {
			return false
		}
		if g.conns[id].Narrow(idleReceiveBuffer) {
			g.budget.Narrow(id)
		} else {
			g.budget.Resume(id) // the connection hasn't noticed yet that more has arrived
		}
	}
	return true
}

// lackLogPeriod is the time between two log lines about connections for which there is no room.
const lackLogPeriod = time.Second

// logLack logs what was closed or refused for lack of room. The caller must hold g.mu.
func (g *Guard) logLack(now time.Time, message string, class admission.Class) {
	if now.Sub(g.logged) < lackLogPeriod {
		return
	}
	g.logged = now
	u, bodies := g.budget.Usage(class), g.budget.Memory.Usage()
	g.log.WithFields(log.Fields{
		"class": class.String(), "connections": u.Conns, "bytes": u.Bytes, "held": bodies.Held, "limit": bodies.Limit,
	}).Warn(message)
}

// lease implements callers.Lease.
type lease struct {
	classGuard
	id admission.ID
}

// Read implements callers.Lease.
func (l lease) Read(bytes, lines int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work(time.Now(), readWork+time.Duration(bytes)*byteWork+time.Duration(lines)*chunkLineWork, 0)
}

// Request implements callers.Lease.
func (l lease) Request() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work(time.Now(), requestWork, 0)
}

// work charges processor time, a part of it for a head. The caller must hold l.mu.
func (l lease) work(now time.Time, cost, head time.Duration) time.Duration {
	delay := l.budget.Work(now, l.id, cost, head)
	if delay > 0 {
		l.counters.workDelayed[l.class].Inc(1)
	}
	return delay
}

func headCharge(bytes, lines int) int64 { return int64(headByteCharge*bytes + headLineCharge*lines) }

// ReadHead implements callers.Lease.
func (l lease) ReadHead(bytes, lines int) (wait time.Duration, ok bool) {
	now := time.Now()
	l.mu.Lock()
	evicts, ok := l.hold(now, headCharge(bytes, lines))
	cost := readWork + time.Duration(bytes)*headWork + time.Duration(lines)*lineWork
	wait = l.work(now, cost, cost)
	l.mu.Unlock()
	for _, evict := range evicts {
		evict()
	}
	return wait, ok
}

// Hold implements callers.Lease.
func (l lease) Hold(bytes, lines int) bool {
	l.mu.Lock()
	evicts, ok := l.hold(time.Now(), headCharge(bytes, lines))
	l.mu.Unlock()
	for _, evict := range evicts {
		evict()
	}
	return ok
}

// hold charges bytes, and returns the functions that close the connections evicted for them. The
// caller must hold l.mu.
func (l lease) hold(now time.Time, bytes int64) (evicts []func(), ok bool) {
	evicted, ok := l.budget.Hold(now, l.id, bytes)
	evicts = l.takeEvicted(now, evicted, l.class)
	if !ok {
		l.counters.headsRefused[l.class].Inc(1)
		l.logLack(now, "no room for a request head", l.class)
	}
	return evicts, ok
}

// Free implements callers.Lease.
func (l lease) Free(bytes, lines int) {
	if bytes == 0 && lines == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.budget.Free(now, l.id, headCharge(bytes, lines))
	l.plan(now)
}

// Begin implements callers.Lease.
func (l lease) Begin(complete bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Begin(l.id, complete)
}

// Complete implements callers.Lease.
func (l lease) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Complete(l.id)
}

// End implements callers.Lease.
func (l lease) End(complete, served bool, bytes, lines int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.End(now, l.id, complete, served)
	l.budget.Free(now, l.id, headCharge(bytes, lines))
	l.plan(now)
}

// Write implements callers.Lease.
func (l lease) Write() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Write(time.Now(), l.id)
}

// Written implements callers.Lease.
func (l lease) Written(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Written(l.id)
	l.budget.Work(time.Now(), l.id, time.Duration(bytes)*byteWork, 0)
}

// Widen implements callers.Lease. The kernel doubles a receive buffer for its own data.
func (l lease) Widen(receiveBuffer int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.narrow(func() bool { return l.budget.Widen(l.id, 2*int64(receiveBuffer)) })
	if !ok {
		l.counters.windowsRefused[l.class].Inc(1)
	}
	return ok
}

// Rest implements callers.Lease.
func (l lease) Rest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Rest(time.Now(), l.id)
}

// Resume implements callers.Lease.
func (l lease) Resume() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Resume(l.id)
}

// SendBuffer implements callers.Lease.
func (l lease) SendBuffer() int {
	size := sendBuffer
	if l.class == admission.Entries {
		size = entrySendBuffer
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sent, l.id)
	if !l.narrow(func() bool { return l.budget.WidenSend(l.id, 2*int64(size)) }) {
		l.counters.windowsRefused[l.class].Inc(1)
		return 0
	}
	return size
}

// narrowPeriod is the time between two looks whether callers have read large responses.
const narrowPeriod = 100 * time.Millisecond

// Sent implements callers.Lease.
func (l lease) Sent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[l.id] = struct{}{}
	if !l.narrowing {
		l.narrowing = true
		time.AfterFunc(narrowPeriod, l.narrowSent)
	}
}

// narrowSent ends the windows for sending of callers that have read their responses.
func (g *Guard) narrowSent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if a, ok := g.conns[id]; !ok || a.NarrowSend(idleSendBuffer) {
			g.budget.EndSend(id)
			delete(g.sent, id)
		}
	}
	if g.narrowing = len(g.sent) > 0; g.narrowing {
		time.AfterFunc(narrowPeriod, g.narrowSent)
	}
}

// Close implements callers.Lease.
func (l lease) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.budget.Disconnect(now, l.id)
	delete(l.conns, l.id)
	delete(l.sent, l.id)
	l.plan(now)
}

// sweepPeriod is the time between two looks for callers that don't read while there is no room for
// responses, and sweepTime how long that goes on after a response found none.
const (
	sweepPeriod = 100 * time.Millisecond
	sweepTime   = 2 * time.Second
)

// sweep evicts connections whose callers don't read. Responses that aren't buffered hold a target for
// as long as they are under way. The caller must hold g.mu.
func (g *Guard) sweep(now time.Time) {
	evicts := g.takeEvicted(now, g.budget.EvictStalled(now), admission.Traffic)
	if len(evicts) > 0 {
		g.logLack(now, "no room for a response: closed connections that aren't read", admission.Traffic)
		go func() {
			for _, evict := range evicts {
				evict()
			}
		}()
	}
	if g.sweeping || now.Sub(g.lacked) >= sweepTime {
		return
	}
	g.sweeping = true
	time.AfterFunc(sweepPeriod, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.sweeping = false
		g.sweep(time.Now())
	})
}
