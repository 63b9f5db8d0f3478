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
	// ShouldSweep reports whether this entry removes expired records. Exactly one of
	// the entries should.
	ShouldSweep func() bool
	Now         func() time.Time // time.Now when nil
	// MaxWriteDelay is how long after its call a write whose response was lost may
	// still be applied; default 15 s, several times the delay that the platform states.
	MaxWriteDelay time.Duration
}

const defaultMaxWriteDelay = 15 * time.Second

// Claims keeps keyed requests of an entry from running twice. It is safe for
// concurrent use.
type Claims struct {
	cfg           Config
	attemptCount  atomic.Uint64
	writeCtx      context.Context // of writes of outcomes to the store
	cancelWrites  context.CancelFunc
	pendingWrites sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	active map[attemptKey]*attempt
}

// New returns Claims without any attempts. Close ends its background writes.
func New(cfg Config) *Claims {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MaxWriteDelay <= 0 {
		cfg.MaxWriteDelay = defaultMaxWriteDelay
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Claims{cfg: cfg, writeCtx: ctx, cancelWrites: cancel, active: make(map[attemptKey]*attempt)}
}

// Close cancels the pending writes of outcomes. An entry that stops calls Flush first.
func (c *Claims) Close() {
	c.cancelWrites()
	c.pendingWrites.Wait()
}

// Flush waits until no write of an outcome is pending, or until ctx ends.
func (c *Claims) Flush(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.pendingWrites.Wait()
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
	Service     string
	Key         string
	Fingerprint uint64    // fingerprint of method, path and body
	Deadline    time.Time // the request isn't dispatched after it
}

// Run dispatches the request and returns its outcome. It ends with ctx.
type Run func(ctx context.Context) claim.RunResult

type attemptKey struct {
	service     string
	key         string
	fingerprint uint64
}

// attempt is a run of a key at this entry that hasn't ended, or whose outcome isn't
// stored yet.
type attempt struct {
	done chan struct{} // closed when the attempt has ended
	// resendResult is the result for a resend, set before done is closed. If it is nil,
	// the resend has to consult the store.
	resendResult *claim.Result
	settled      <-chan struct{} // closed when the write of the outcome has ended
}

// Do runs the request unless its key has run or may be running, and returns the result
// for the caller. A resend waits for an attempt of its key that runs at this entry.
func (c *Claims) Do(ctx context.Context, r Request, run Run) claim.Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	key := attemptKey{r.Service, r.Key, r.Fingerprint}
	for {
		a, first := c.join(key)
		if first {
			defer c.finish(key, a)
			return c.execute(ctx, r, run, a)
		}
		select {
		case <-ctx.Done():
			return claim.Result{Kind: claim.Uncertain, Reason: claim.ReasonInProgress, RetryAfter: claim.RetryDelay}
		case <-a.done:
		}
		if a.resendResult != nil {
			return *a.resendResult
		}
	}
}

func (c *Claims) join(key attemptKey) (a *attempt, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.active[key]; ok {
		return a, false
	}
	a = &attempt{done: make(chan struct{})}
	c.active[key] = a
	return a, true
}

// finish ends an attempt. An attempt with an outcome stays registered until the write of
// the outcome has ended. Otherwise a resend in between would find the key in progress.
func (c *Claims) finish(key attemptKey, a *attempt) {
	if a.resendResult == nil {
		c.forget(key)
		close(a.done)
		return
	}
	close(a.done)
	c.pendingWrites.Go(func() {
		<-a.settled
		c.forget(key)
	})
}

func (c *Claims) forget(key attemptKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, key)
}

// execute claims the key, runs the request and settles the claim.
func (c *Claims) execute(ctx context.Context, r Request, run Run, a *attempt) (result claim.Result) {
	h := recordHolder{claims: c, name: recordName(r.Service, r.Key), record: claim.Record{
		Fingerprint: r.Fingerprint, ID: fmt.Sprintf("%s#%x.%x", c.cfg.Entry, c.cfg.Boot, c.attemptCount.Add(1)),
		ClaimedAt: c.cfg.Now(), DispatchDeadline: r.Deadline,
	}}
	if refusal, granted := h.acquire(ctx); !granted {
		return refusal
	}
	runResult := claim.RunResult{Outcome: call.NotRun, Reason: claim.ReasonDeadline, RetryAfter: claim.RetryDelay}
	if ctx.Err() == nil {
		runResult = run(ctx)
	}
	result, kept := claim.Finish(runResult)
	a.settled = h.settle(kept)
	if kept != nil {
		resendResult := claim.ResolveExisting(c.cfg.Now(), claim.Record{Fingerprint: r.Fingerprint, Response: kept}, r.Fingerprint)
		a.resendResult = &resendResult
	}
	return result
}

// recordName returns the name of a key's record. It hashes the key, since keys may hold
// characters that object names may not.
func recordName(service, key string) string {
	return fmt.Sprintf("%s-%016x%016x", service, xxhash.Sum64String(key), xxhash.Sum64String(service+"\x00"+key))
}
