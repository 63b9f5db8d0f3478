// Package claims runs keyed requests at most once. An attempt creates the record of
// its key in the platform's store before the request is sent to a target. Only one
// attempt through all entries can create the record, even if entries are killed,
// paused or partitioned meanwhile.
//
// While the store is unavailable no key can be claimed. Keyed requests then get the
// result Uncertain within claimTimeout, with a time to retry after.
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

// Store holds the records. Put and Delete don't retry.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	List(ctx context.Context, kind string) (objects []store.Object, version uint64, err error)
	Put(ctx context.Context, kind, name string, expected uint64, value []byte) (version uint64, err error)
	Delete(ctx context.Context, kind, name string, expected uint64) error
}

// Config configures Claims.
type Config struct {
	Entry string // name of this entry
	Boot  uint64 // incarnation of this entry
	Store Store
	Log   log.Interface
	// ShouldSweep reports whether this entry removes expired records. One of all
	// entries should.
	Sweeps func() bool
	Now    func() time.Time // time.Now when nil
	// MaxWriteDelay is how long after its call a write whose response was lost may
	// still be applied; default 15 s, several times the platform's own figure.
	Late time.Duration
}

const defaultLate = 15 * time.Second

// Claims keeps keyed requests of an entry from running twice. It is safe for
// concurrent use.
type Claims struct {
	cfg      Config
	attempts atomic.Uint64
	life     context.Context // of writes of outcomes to the store
	end      context.CancelFunc
	settling sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	flights map[flightKey]*flight
}

// New returns Claims without any attempts. Close ends its background writes.
func New(cfg Config) *Claims {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Late <= 0 {
		cfg.Late = defaultLate
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{cfg: cfg, life: ctx, end: cancel, flights: make(map[flightKey]*flight)}
}

// Close cancels the pending writes of outcomes. An entry that stops calls Flush first.
func (c *Claims) Close() {
	c.end()
	c.settling.Wait()
}

// Flush waits until no write of an outcome is pending, or until ctx ends.
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

// Request identifies a request that runs at most once.
type Request struct {
	Service  string
	Key      string
	Print    uint64    // fingerprint of method, path and body
	Deadline time.Time // the request isn't dispatched after it
}

// Run dispatches the request and returns its outcome. It ends with ctx.
type Run func(ctx context.Context) claim.RunResult

type flightKey struct {
	service string
	key     string
	print   uint64
}

// attempt is a run of a key at this entry that hasn't ended, or whose outcome isn't
// stored yet.
type flight struct {
	done chan struct{} // closed when the attempt has ended
	// resendResult is the result for a resend, set before done is closed. If it is nil,
	// the resend has to consult the store.
	again   *claim.Result
	settled <-chan struct{} // closed when the write of the outcome has ended
}

// Do runs the request unless its key has run or may be running, and returns the result
// for the caller. A resend waits for an attempt of its key that runs at this entry.
func (c *Claims) Do(ctx context.Context, r Request, run Run) claim.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	key := flightKey{r.Service, r.Key, r.Print}
	for {
		a, first := c.join(key)
		if first {
			defer c.part(key, a)
			return c.fly(ctx, r, run, a)
		}
		select {
		case <-ctx.Done():
			return claim.Result{Kind: claim.Uncertain, Reason: claim.ReasonInProgress, RetryAfter: claim.RetryDelay}
		case <-a.done:
		}
		if a.again != nil {
			return *a.again
		}
	}
}

func (c *Claims) join(key flightKey) (a *flight, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.flights[key]; ok {
		return a, false
	}
	a = &flight{done: make(chan struct{})}
	c.flights[key] = a
	return a, true
}

// finish ends an attempt. An attempt with an outcome stays registered until the outcome
// is stored. Otherwise a resend in between would find the key in progress.
func (c *Claims) part(key flightKey, a *flight) {
	if a.again == nil {
		c.forget(key)
		close(a.done)
		return
	}
	close(a.done)
	c.settling.Go(func() {
		<-a.settled
		c.forget(key)
	})
}

func (c *Claims) forget(key flightKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flights, key)
}

// execute claims the key, runs the request and settles the claim.
func (c *Claims) fly(ctx context.Context, r Request, run Run, a *flight) (result claim.Result) {
	h := hold{claims: c, name: recordName(r.Service, r.Key), record: claim.Record{
		Fingerprint: r.Print, ID: fmt.Sprintf("%s#%x.%x", c.cfg.Entry, c.cfg.Boot, c.attempts.Add(1)),
		ClaimedAt: c.cfg.Now(), DispatchDeadline: r.Deadline,
	}}
	if refusal, granted := h.take(ctx); !granted {
		return refusal
	}
	runResult := claim.RunResult{Outcome: call.NotRun, Reason: claim.ReasonDeadline, RetryAfter: claim.RetryDelay}
	if ctx.Err() == nil {
		runResult = run(ctx)
	}
	result, kept := claim.Finish(runResult)
	a.settled = h.settle(kept)
	if kept != nil {
		resendResult := claim.ResolveExisting(c.cfg.Now(), claim.Record{Fingerprint: r.Print, Response: kept}, r.Print)
		a.again = &resendResult
	}
	return result
}

// recordName returns the name of a key's record. It hashes the key, since keys may hold
// characters that object names may not.
func recordName(service, key string) string {
	return fmt.Sprintf("%s-%016x%016x", service, xxhash.Sum64String(key), xxhash.Sum64String(service+"\x00"+key))
}
