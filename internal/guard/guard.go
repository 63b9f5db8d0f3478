package gateway

import (
	"cmp"
	"runtime/debug"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/memory"
	"plumpitch.example/plumpitch/platform"
)

// Division of the memory of a VM.
const (
	// heapShare is the part that the runtime may use. The collector runs more often near it.
	heapShare = 0.7
	// trafficShare is the part for bodies and buffered responses, and connShare that for connections
	// and heads. Up to heapShare, the heap has room for control state and garbage.
	trafficShare = 0.5
	connShare    = 0.08
	// kernelShare is the part for what the kernel holds for connections, and windowShare that for large
	// bodies and responses however many connections there are.
	kernelShare = 0.3
	windowShare = 0.06
	// unknownMemory is taken for the memory if the settings don't tell it, in bytes.
	unknownMemory = 256e6
)

// Charges of a connection and of a body, in bytes.
const (
	bodyStart = 64 << 10
	// bodyReceiveBuffer bounds the unread bytes of a connection whose large body is being read, if there
	// is room for a window. It lets callers that are far away send several megabytes per second.
	bodyReceiveBuffer = 256 << 10
	waitCharge        = 128 << 10
	connCharge        = 8 << 10
)

// memoryPlanPeriod is the time between two plans while bodies wait for room.
const memoryPlanPeriod = 10 * time.Millisecond

// guard bounds what callers hold of the VM and do on it. It is safe for concurrent use.
type guard struct {
	mu        sync.Mutex
	budget    *admission.Budget
	conns     map[admission.ID]callers.Actions
	sent      map[admission.ID]struct{} // connections with a window for sending between responses
	counters  guardCounters
	bodies    map[memory.ID]*heldBody
	planning  bool      // a timer is set
	narrowing bool      // the same for sent
	sweeping  bool      // the same for callers that don't read
	lacked    time.Time // when a response found no room
	refusals  map[memory.Cause]tally.Counter
	log       log.Interface
	logged    time.Time // of the latest log line about connections
}

// heldBody is a body of a request in the budget.
type heldBody struct {
	guard     *guard
	id        memory.ID
	decisions chan memory.Decision // of a wait
	interrupt func()               // ends a read that is under way

	// Guarded by guard.mu.
	waiting     bool
	refusal     *memory.Decision
	interrupted chan struct{} // closed when interrupt has returned; nil unless it was called
}

// errNoMemory is a body that the budget has refused.
type errNoMemory struct{ memory.Decision }

func (e *errNoMemory) Error() string { return "no room for the request body: " + e.Cause.String() }

// newGuard returns a guard for a VM with these settings; 0 means that a value is unknown.
func newGuard(s platform.Settings, i *instruments, l log.Interface) *guard {
	bytes := cmp.Or(s.Memory, int64(unknownMemory))
	m := &guard{
		bodies: make(map[memory.ID]*heldBody), refusals: make(map[memory.Cause]tally.Counter), log: l,
		conns: make(map[admission.ID]callers.Actions), sent: make(map[admission.ID]struct{}), counters: i.guard,
		budget: admission.New(admission.Config{
			Memory: memory.Config{
				Limit: int64(trafficShare * float64(bytes)), Start: bodyStart, WaitCharge: waitCharge, Conns: int64(connShare * float64(bytes)),
			},
			Conns: maxConns(bytes, s.MaxFiles), Conn: connCharge, Cores: s.Cores,
			Kernel: int64(kernelShare * float64(bytes)), ConnKernel: connKernelCharge, Windows: int64(windowShare * float64(bytes)),
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
func (m *guard) open(now time.Time, b memory.Body, interrupt func()) (*heldBody, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.budget.Memory.Open(now, b)
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

// extend waits for room for further bytes. It calls ended from time to time, which reports whether the
// wait has to end.
func (h *heldBody) extend(bytes int64, ended func(now time.Time) bool) (err error) {
	d := h.ask(bytes)
	if d.Verdict == memory.Wait {
		if d, err = h.await(ended); err != nil {
			return err
		}
	}
	if d.Verdict == memory.Refuse {
		return &errNoMemory{d}
	}
	return nil
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
	d := m.budget.Memory.Extend(now, h.id, bytes)
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
func (m *guard) refused(d memory.Decision) {
	m.refusals[d.Cause].Inc(1)
	if h := m.bodies[d.ID]; h != nil {
		h.refusal = &d
		delete(m.bodies, d.ID)
	}
}

// plan makes the decisions that are due, and sets a timer while bodies wait. The caller must hold
// m.mu.
func (m *guard) plan(now time.Time) {
	for _, d := range m.budget.Memory.Plan(now) {
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
			h.interrupted = make(chan struct{})
			go func() { // it locks the connection, which may wait for m.mu
				defer close(h.interrupted)
				h.interrupt()
			}()
		}
	}
	if m.planning || m.budget.Memory.Usage().Waiting == 0 {
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

// refusedWith returns the refusal of a body that was being read; nil if there is none. The read is no
// longer interrupted then.
func (h *heldBody) refusedWith() error {
	h.guard.mu.Lock()
	refusal, interrupted := h.refusal, h.interrupted
	h.guard.mu.Unlock()
	if interrupted != nil {
		<-interrupted
	}
	if refusal == nil {
		return nil
	}
	return &errNoMemory{*refusal}
}

// complete notes that the body has been read. It returns an error if the body was refused before.
func (h *heldBody) complete() error {
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	if h.refusal != nil {
		return &errNoMemory{*h.refusal}
	}
	h.guard.budget.Memory.Complete(h.id)
	h.guard.plan(time.Now())
	return nil
}

// close ends the use of the body.
func (h *heldBody) close() {
	m := h.guard
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.budget.Memory.Close(now, h.id)
	delete(m.bodies, h.id)
	m.plan(now)
}

// Buffer implements forward.Buffers.
func (m *guard) Buffer(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Memory.Buffer(bytes) {
		return true
	}
	now := time.Now()
	m.lacked = now
	m.sweep(now)
	return false
}

// Return implements forward.Buffers.
func (m *guard) Return(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.budget.Memory.Return(now, bytes)
	m.plan(now)
}

func (m *guard) usage() memory.Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Memory.Usage()
}
