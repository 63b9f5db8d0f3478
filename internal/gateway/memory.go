package gateway

import (
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/pkg/memory"
)

// Division of the memory of a VM. The rest is for bytes in the kernel and memory that the runtime
// doesn't count.
const (
	// heapShare is the part that the runtime may use. The collector runs more often near it.
	heapShare = 0.8
	// trafficShare is the part for bodies, buffered responses and connections. Up to heapShare,
	// the heap has room for control state and garbage.
	trafficShare = 0.5
	// unknownMemory is taken for the memory if the settings don't tell it, in bytes.
	unknownMemory = 256e6
)

// Charges of a connection and of a body, in bytes.
const (
	bodyStart = 64 << 10
	// receiveBuffer bounds the unread bytes of a connection. The kernel doubles it for its own data.
	receiveBuffer = 64 << 10
	// bodyReceiveBuffer is that of a connection whose body is being read and has room. It lets
	// callers that are far away send several megabytes per second.
	bodyReceiveBuffer = 256 << 10
	waitCharge        = 2 * receiveBuffer
	connCharge        = 16 << 10
)

// memoryPlanPeriod is the time between two plans while bodies wait for room.
const memoryPlanPeriod = 10 * time.Millisecond

// memoryGuard bounds the memory that traffic takes. It is safe for concurrent use.
type memoryGuard struct {
	mu       sync.Mutex
	budget   *memory.Budget
	bodies   map[memory.ID]*heldBody
	planning bool // a timer is set
	refusals map[memory.Cause]tally.Counter
	conns    tally.Counter // refused connections
	log      log.Interface
	connsLog time.Time // of the latest log line about a refused connection
}

// heldBody is a body of a request in the budget.
type heldBody struct {
	guard     *memoryGuard
	id        memory.ID
	decisions chan memory.Decision // of a wait
	interrupt func()               // ends a read that is under way

	// Guarded by guard.mu.
	waiting bool
	refusal *memory.Decision
}

// errNoMemory is a body that the budget has refused.
type errNoMemory struct{ memory.Decision }

func (e *errNoMemory) Error() string { return "no room for the request body: " + e.Cause.String() }

// newMemoryGuard returns a guard for a VM with this memory in bytes; 0 means that it is unknown.
func newMemoryGuard(bytes int64, i *instruments, l log.Interface) *memoryGuard {
	if bytes <= 0 {
		bytes = unknownMemory
	}
	m := &memoryGuard{
		bodies: make(map[memory.ID]*heldBody), refusals: make(map[memory.Cause]tally.Counter), conns: i.connsRefused, log: l,
		budget: memory.New(memory.Config{
			Limit: int64(trafficShare * float64(bytes)), Start: bodyStart, WaitCharge: waitCharge, ConnCharge: connCharge,
		}),
	}
	for _, c := range memory.Causes() {
		m.refusals[c] = i.bodyRefusals(c.String())
	}
	return m
}

// LimitHeap sets the limit of the runtime for a VM with this memory in bytes. Without it the heap
// grows to twice the live bytes, whatever the VM has.
func LimitHeap(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}

// open adds a request's body. interrupt ends a read of it.
func (m *memoryGuard) open(now time.Time, b memory.Body, interrupt func()) (*heldBody, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.budget.Open(now, b)
	if d.Verdict == memory.Refuse {
		m.refusals[d.Cause].Inc(1)
		return nil, &errNoMemory{d}
	}
	h := &heldBody{guard: m, id: d.ID, decisions: make(chan memory.Decision, 1), interrupt: interrupt}
	m.bodies[d.ID] = h
	return h, nil
}

// waitCheckPeriod is the time between two calls of ended in a wait for room.
const waitCheckPeriod = 50 * time.Millisecond

// extend waits for room for further bytes, and reports whether it had to wait. It calls onWait
// before a wait, and ended from time to time, which reports whether the wait has to end.
func (h *heldBody) extend(bytes int64, ended func(now time.Time) bool, onWait func()) (waited bool, err error) {
	d := h.ask(bytes)
	if waited = d.Verdict == memory.Wait; waited {
		onWait()
		if d, err = h.await(ended); err != nil {
			return waited, err
		}
	}
	if d.Verdict == memory.Refuse {
		return waited, &errNoMemory{d}
	}
	return waited, nil
}

// ask asks for room for further bytes.
func (h *heldBody) ask(bytes int64) memory.Decision {
	m := h.guard
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.refusal != nil {
		return *h.refusal
	}
	now := time.Now()
	d := m.budget.Extend(now, h.id, bytes)
	if d.Verdict == memory.Refuse {
		m.refused(d)
	}
	h.waiting = d.Verdict == memory.Wait
	m.plan(now)
	return d
}

// await waits for the decision about a body.
func (h *heldBody) await(ended func(now time.Time) bool) (d memory.Decision, err error) {
	check := time.NewTicker(waitCheckPeriod)
	defer check.Stop()
	for {
		select {
		case d := <-h.decisions:
			return d, nil
		case now := <-check.C:
			if ended(now) {
				return d, errWaitEnded
			}
		}
	}
}

// errWaitEnded is a body whose request ended while it waited for room.
var errWaitEnded = errors.New("the wait for room has ended")

// refused notes the refusal of a body. The caller must hold m.mu.
func (m *memoryGuard) refused(d memory.Decision) {
	m.refusals[d.Cause].Inc(1)
	if h := m.bodies[d.ID]; h != nil {
		h.refusal = &d
		delete(m.bodies, d.ID)
	}
}

// plan makes the decisions that are due, and sets a timer while bodies wait. The caller must hold
// m.mu.
func (m *memoryGuard) plan(now time.Time) {
	for _, d := range m.budget.Plan(now) {
		h := m.bodies[d.ID]
		if h == nil {
			continue
		}
		if d.Verdict == memory.Refuse {
			m.refused(d)
		}
		switch {
		case h.waiting:
			h.waiting = false
			h.decisions <- d
		case d.Verdict == memory.Refuse:
			h.interrupt()
		}
	}
	if m.planning || m.budget.Usage().Waiting == 0 {
		return
	}
	m.planning = true
	time.AfterFunc(memoryPlanPeriod, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.planning = false
		m.plan(time.Now())
	})
}

// refusedWith returns the refusal of a body that was being read; nil if there is none.
func (h *heldBody) refusedWith() error {
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	if h.refusal == nil {
		return nil
	}
	return &errNoMemory{*h.refusal}
}

// complete notes that the body has been read. It returns an error if the body was refused before.
func (h *heldBody) complete() error {
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	if h.refusal != nil {
		return &errNoMemory{*h.refusal}
	}
	h.guard.budget.Complete(h.id)
	h.guard.plan(time.Now())
	return nil
}

// close ends the use of the body.
func (h *heldBody) close() {
	m := h.guard
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.budget.Close(now, h.id)
	delete(m.bodies, h.id)
	m.plan(now)
}

// Buffer implements forward.Buffers.
func (m *memoryGuard) Buffer(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Buffer(bytes)
}

// Return implements forward.Buffers.
func (m *memoryGuard) Return(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.budget.Return(now, bytes)
	m.plan(now)
}

// refusedConnLogPeriod is the time between two log lines about refused connections.
const refusedConnLogPeriod = time.Second

// connect charges a connection, and reports whether there is room for it.
func (m *memoryGuard) connect(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Connect() {
		return true
	}
	m.conns.Inc(1)
	if now.Sub(m.connsLog) >= refusedConnLogPeriod {
		m.connsLog = now
		u := m.budget.Usage()
		m.log.WithFields(log.Fields{"connections": u.Conns, "held": u.Held, "limit": u.Limit}).Warn("no memory for further connections")
	}
	return false
}

func (m *memoryGuard) disconnect() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Disconnect()
}

// trackConn ends the charge of a connection of an http.Server (http.Server.ConnState).
func (m *memoryGuard) trackConn(s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		m.disconnect()
	}
}

func (m *memoryGuard) usage() memory.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Usage()
}

// boundUnread bounds the unread bytes of a connection.
func boundUnread(c net.Conn, bytes int) {
	if t, ok := c.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = t.SetReadBuffer(bytes) // fails if the connection has ended
	}
}
