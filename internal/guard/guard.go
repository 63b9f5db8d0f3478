package guard

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
)

// Division of the memory of a VM.
const (
	// heapShare is the part that the runtime may use. The collector runs more often near it.
	heapShare = 0.65
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

// BodyReceiveBuffer bounds the unread bytes of a connection whose large body is being read, if there is
// room for a window. It lets callers that are far away send several megabytes per second.
const BodyReceiveBuffer = 256 << 10

// Charges of a connection and of a body, in bytes.
const (
	bodyStart  = 64 << 10
	waitCharge = 128 << 10
	connCharge = 8 << 10
)

// memoryPlanPeriod is the time between two plans while bodies wait for room.
const memoryPlanPeriod = 10 * time.Millisecond

// Guard bounds what callers hold of the VM and do on it. It is safe for concurrent use.
type Guard struct {
	mu        sync.Mutex
	budget    *admission.Budget
	conns     map[admission.ID]callers.Actions
	sent      map[admission.ID]struct{} // connections with a window for sending between responses
	counters  counters
	bodies    map[memory.ID]*Body
	planning  bool      // a timer is set
	narrowing bool      // the same for sent
	sweeping  bool      // the same for callers that don't read
	lacked    time.Time // when a response found no room
	refusals  map[memory.Cause]tally.Counter
	log       log.Interface
	logged    time.Time // of the latest log line about connections
}

// Body is a body of a request in the budget.
type Body struct {
	guard     *Guard
	id        memory.ID
	decisions chan memory.Decision // of a wait
	interrupt func()               // ends a read that is under way

	// Guarded by guard.mu.
	waiting     bool
	refusal     *memory.Decision
	interrupted chan struct{} // closed when interrupt has returned; nil unless it was called
}

// Refusal is the error of a body for which there is no room.
type Refusal struct{ memory.Decision }

func (e *Refusal) Error() string { return "no room for the request body: " + e.Cause.String() }

// Config of a Guard. 0 means that a value is unknown.
type Config struct {
	Memory int64       // bytes of the VM
	Files  int64       // descriptors of the process
	Cores  float64     // processor time per second, in seconds
	Scope  tally.Scope // of the counters
	Log    log.Interface
}

// New returns a guard.
func New(cfg Config) *Guard {
	bytes := cmp.Or(cfg.Memory, int64(unknownMemory))
	g := &Guard{
		bodies: make(map[memory.ID]*Body), refusals: make(map[memory.Cause]tally.Counter), log: cfg.Log,
		conns: make(map[admission.ID]callers.Actions), sent: make(map[admission.ID]struct{}), counters: newCounters(cfg.Scope),
		budget: admission.New(admission.Config{
			Memory: memory.Config{
				Limit: int64(trafficShare * float64(bytes)), Start: bodyStart, WaitCharge: waitCharge, Conns: int64(connShare * float64(bytes)),
			},
			Conns: maxConns(bytes, cfg.Files), Conn: connCharge, Cores: cfg.Cores,
			Kernel: int64(kernelShare * float64(bytes)), ConnKernel: connKernelCharge, Windows: int64(windowShare * float64(bytes)),
		}),
	}
	for _, c := range memory.Causes() {
		g.refusals[c] = cfg.Scope.Tagged(map[string]string{"cause": c.String()}).Counter("bodies_refused")
	}
	return g
}

// LimitHeap sets the limit of the runtime for a VM with this memory in bytes. Without it the heap
// grows to twice the live bytes, whatever the VM has.
func LimitHeap(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}

// Open adds a request's body. interrupt ends a read of it. The error is a Refusal.
func (g *Guard) Open(now time.Time, b memory.Body, interrupt func()) (*Body, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.budget.Memory.Open(now, b)
	if d.Verdict == memory.Refuse {
		g.refusals[d.Cause].Inc(1)
		return nil, &Refusal{d}
	}
	h := &Body{guard: g, id: d.ID, decisions: make(chan memory.Decision, 1), interrupt: interrupt}
	g.bodies[d.ID] = h
	return h, nil
}

// waitCheckPeriod is the time between two calls of ended in a wait for room.
const waitCheckPeriod = 50 * time.Millisecond

// Extend waits for room for further bytes. It calls ended from time to time, which reports whether the
// wait has to end. The error is a Refusal or ErrWaitEnded.
func (h *Body) Extend(bytes int64, ended func(now time.Time) bool) (err error) {
	d := h.ask(bytes)
	if d.Verdict == memory.Wait {
		if d, err = h.await(ended); err != nil {
			return err
		}
	}
	if d.Verdict == memory.Refuse {
		return &Refusal{d}
	}
	return nil
}

// ask asks for room for further bytes.
func (h *Body) ask(bytes int64) memory.Decision {
	g := h.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.refusal != nil {
		return *h.refusal
	}
	now := time.Now()
	d := g.budget.Memory.Extend(now, h.id, bytes)
	if d.Verdict == memory.Refuse {
		g.refused(d)
	}
	h.waiting = d.Verdict == memory.Wait
	g.plan(now)
	return d
}

// await waits for the decision about a body.
func (h *Body) await(ended func(now time.Time) bool) (d memory.Decision, err error) {
	check := time.NewTicker(waitCheckPeriod)
	defer check.Stop()
	for {
		select {
		case d := <-h.decisions:
			return d, nil
		case now := <-check.C:
			if ended(now) {
				return d, ErrWaitEnded
			}
		}
	}
}

// ErrWaitEnded is a body whose request ended while it waited for room.
var ErrWaitEnded = errors.New("the wait for room has ended")

// refused notes the refusal of a body. The caller must hold g.mu.
func (g *Guard) refused(d memory.Decision) {
	g.refusals[d.Cause].Inc(1)
	if h := g.bodies[d.ID]; h != nil {
		h.refusal = &d
		delete(g.bodies, d.ID)
	}
}

// plan makes the decisions that are due, and sets a timer while bodies wait. The caller must hold
// g.mu.
func (g *Guard) plan(now time.Time) {
	for _, d := range g.budget.Memory.Plan(now) {
		h := g.bodies[d.ID]
		if h == nil {
			continue
		}
		if d.Verdict == memory.Refuse {
			g.refused(d)
		}
		switch {
		case h.waiting:
			h.waiting = false
			h.decisions <- d
		case d.Verdict == memory.Refuse:
			h.interrupted = make(chan struct{})
			go func() { // it locks the connection, which may wait for g.mu
				defer close(h.interrupted)
				h.interrupt()
			}()
		}
	}
	if g.planning || g.budget.Memory.Usage().Waiting == 0 {
		return
	}
	g.planning = true
	time.AfterFunc(memoryPlanPeriod, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.planning = false
		g.plan(time.Now())
	})
}

// Refused returns the Refusal of a body that was being read; nil if there is none. The read is no
// longer interrupted then.
func (h *Body) Refused() error {
	h.guard.mu.Lock()
	refusal, interrupted := h.refusal, h.interrupted
	h.guard.mu.Unlock()
	if interrupted != nil {
		<-interrupted
	}
	if refusal == nil {
		return nil
	}
	return &Refusal{*refusal}
}

// Complete notes that the body has been read. It returns its Refusal if it was refused before.
func (h *Body) Complete() error {
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	if h.refusal != nil {
		return &Refusal{*h.refusal}
	}
	h.guard.budget.Memory.Complete(h.id)
	h.guard.plan(time.Now())
	return nil
}

// Close ends the use of the body.
func (h *Body) Close() {
	g := h.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.budget.Memory.Close(now, h.id)
	delete(g.bodies, h.id)
	g.plan(now)
}

// Buffer implements forward.Buffers.
func (g *Guard) Buffer(bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.budget.Memory.Buffer(bytes) {
		return true
	}
	now := time.Now()
	if g.lacked = now; !g.sweeping {
		g.sweep(now)
	}
	return false
}

// Return implements forward.Buffers.
func (g *Guard) Return(bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.budget.Memory.Return(now, bytes)
	g.plan(now)
}

// Usage returns what bodies, responses and connections use.
func (g *Guard) Usage() memory.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Memory.Usage()
}

// ClassUsage returns what the connections of a class use.
func (g *Guard) ClassUsage(class admission.Class) admission.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Usage(class)
}
