// Package claims runs keyed requests at most once. The record of a key lies in
// the platform's store and is created before the request is sent to a target:
// of all attempts through all entries one creates it, whichever entries are
// killed, paused or cut off meanwhile.
//
// While the store is away no key can be claimed. Keyed requests are then
// answered at once as unknown, with a time to come back.
package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/claim"
)

// Store holds the records. Put and Delete make one attempt.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	List(ctx context.Context, kind string) (objects []store.Object, version uint64, err error)
	Put(ctx context.Context, kind, name string, expected uint64, value []byte) (version uint64, err error)
	Delete(ctx context.Context, kind, name string, expected uint64) error
}

// Config is what Claims is built from.
type Config struct {
	Entry string // name of this entry
	Boot  uint64 // its incarnation
	Store Store
	Log   log.Interface
	// Sweeps tells whether this entry removes records that have expired. One
	// of all should.
	Sweeps func() bool
	Now    func() time.Time // time.Now when nil
	// Late is how long after its call a write may still be done whose answer
	// was lost; 15 s when 0, several times what the platform says.
	Late time.Duration
}

const defaultLate = 15 * time.Second

// Claims is the part of an entry that keeps requests from running twice. It is
// safe for concurrent use.
type Claims struct {
	cfg      Config
	attempts atomic.Uint64
	life     context.Context // of outcomes on their way to the store
	end      context.CancelFunc
	settling sync.WaitGroup

	mu      sync.Mutex // guards what follows
	flights map[flightKey]*flight
}

// New builds Claims.
func New(cfg Config) *Claims {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Late <= 0 {
		cfg.Late = defaultLate
	}
	life, end := context.WithCancel(context.Background())
	return &Claims{cfg: cfg, life: life, end: end, flights: make(map[flightKey]*flight)}
}

// Close gives up the outcomes that are still on their way. An entry that stops
// calls Flush first.
func (c *Claims) Close() {
	c.end()
	c.settling.Wait()
}

// Flush waits until the store has every outcome, or ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.settling.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Request is what is to run at most once.
type Request struct {
	Service  string
	Key      string
	Print    uint64    // fingerprint of method, path and body
	Deadline time.Time // after it nothing is dispatched
}

// Run dispatches the request and tells its outcome. It ends with ctx.
type Run func(ctx context.Context) claim.Ended

type flightKey struct {
	service string
	key     string
	print   uint64
}

// flight is an attempt of this entry that is not over, or whose answer the store
// doesn't have yet.
type flight struct {
	done chan struct{}
	// again is what a resend is told; nil where it has to ask the store. It is there
	// once done is closed.
	again   *claim.Result
	settled <-chan struct{} // closed once the store has the outcome
}

// Do runs the request unless its key has run or may be running, and gives what
// its caller is told. A resend that meets its first try here waits for it.
func (c *Claims) Do(ctx context.Context, r Request, run Run) claim.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	key := flightKey{r.Service, r.Key, r.Print}
	for {
		f, first := c.join(key)
		if first {
			defer c.part(key, f)
			return c.fly(ctx, r, run, f)
		}
		select {
		case <-ctx.Done():
			return claim.Result{Kind: claim.Uncertain, Reason: claim.ReasonInProgress, RetryAfter: claim.RetrySoon}
		case <-f.done:
		}
		if f.again != nil {
			return *f.again
		}
	}
}

func (c *Claims) join(key flightKey) (f *flight, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flights[key]; ok {
		return f, false
	}
	f = &flight{done: make(chan struct{})}
	c.flights[key] = f
	return f, true
}

// part ends a flight. One that has an outcome stays known until the store has it:
// a resend that came in between would be told that the key may be running.
func (c *Claims) part(key flightKey, f *flight) {
	if f.again == nil {
		c.forget(key)
		close(f.done)
		return
	}
	close(f.done)
	c.settling.Go(func() {
		<-f.settled
		c.forget(key)
	})
}

func (c *Claims) forget(key flightKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, key)
}

// fly claims the key, runs the request and settles the claim.
func (c *Claims) fly(ctx context.Context, r Request, run Run, f *flight) (result claim.Result) {
	h := hold{claims: c, name: recordName(r.Service, r.Key), record: claim.Record{
		Print: r.Print, ID: fmt.Sprintf("%s#%x.%x", c.cfg.Entry, c.cfg.Boot, c.attempts.Add(1)),
		At: c.cfg.Now(), Until: r.Deadline,
	}}
	if met, granted := h.take(ctx); !granted {
		return met
	}
	ended := claim.Ended{Outcome: call.NotRun, Reason: claim.ReasonDeadline, RetryAfter: claim.RetrySoon}
	if ctx.Err() == nil {
		ended = run(ctx)
	}
	result, kept := claim.Finish(ended)
	f.settled = h.settle(kept)
	if kept != nil {
		again := claim.Meet(c.cfg.Now(), claim.Record{Print: r.Print, Answer: kept}, r.Print)
		f.again = &again
	}
	return result
}

// recordName is the name of a key's record: keys hold characters that names of
// objects may not.
func recordName(service, key string) string {
	return fmt.Sprintf("%s-%016x%016x", service, xxhash.Sum64String(key), xxhash.Sum64String(service+"\x00"+key))
}
