// Package claims drives pkg/claim and pkg/ring in an entry: it runs keyed
// requests at most once, answers the claims of other entries, and takes part in
// changes of the ring.
package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"plumpitch.example/plumpitch/pkg/claim"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Peers reaches other entries. Each call has a bound of its own besides ctx.
type Peers interface {
	Claim(ctx context.Context, to ring.Member, a claim.Ask) (claim.Reply, error)
	Settle(ctx context.Context, to ring.Member, s claim.Settlement) (known bool, err error)
	// Records gives the ring revision in force at the receiver.
	Records(ctx context.Context, to ring.Member, b Batch) (revision uint64, err error)
	// Ring gives the receiver's ring document when its revision is above have,
	// and nothing otherwise.
	Ring(ctx context.Context, to ring.Member, have uint64) (document []byte, err error)
}

// Store holds the ring document.
type Store interface {
	// Get gives version 0 when there is no document.
	Get(ctx context.Context) (document []byte, version uint64, err error)
	// Put writes when the version is still the given one.
	Put(ctx context.Context, document []byte, version uint64) error
}

// Batch is a part of the records on their way to another replica.
type Batch struct {
	To      ring.Ident
	From    ring.Ident
	Ring    uint64
	Records []claim.Record
	Last    bool // nothing more to copy for this ring
}

// Config is what Claims is built from. Zero durations take the defaults.
type Config struct {
	Self     ring.Member
	Table    claim.Config
	Bounds   ring.Config
	Peers    Peers
	Store    Store
	View     func() ring.View // what membership knows, this entry included; Since is filled in
	Now      func() time.Time
	Log      func(message string, err error)
	Every    time.Duration // between two looks at the ring
	Turn     time.Duration // lead of one proposer over the next
	Poll     time.Duration // between two reads of the ring in the store
	Patience time.Duration // longest wait of a request for its replicas
	Again    time.Duration // between two tries at a silent replica
}

// Claims is the part of an entry that keeps requests from running twice. It is
// safe for concurrent use.
type Claims struct {
	cfg     Config
	attempt atomic.Uint64
	life    context.Context // of settlements on their way
	end     context.CancelFunc
	telling sync.WaitGroup
	kick    chan ring.Ident // entries that asked under a newer ring

	mu      sync.Mutex // guards what follows
	table   *claim.Table
	ring    ring.Ring
	since   time.Time
	changed chan struct{} // closed when the ring changes
	contact ring.Contact
	synced  uint64 // revision for which this entry has copied its records
	flights map[flightKey]*flight
}

// New builds Claims. Nothing runs before Serve has found a ring.
func New(cfg Config) *Claims {
	cfg = defaults(cfg)
	life, end := context.WithCancel(context.Background())
	return &Claims{
		cfg:     cfg,
		life:    life,
		end:     end,
		table:   claim.New(cfg.Table),
		since:   cfg.Now(),
		changed: make(chan struct{}),
		kick:    make(chan ring.Ident, 1),
		flights: make(map[flightKey]*flight),
	}
}

// Close gives up the settlements that are still on their way. An entry that
// stops waits for Clear first.
func (c *Claims) Close() {
	c.end()
	c.telling.Wait()
}

func defaults(cfg Config) Config {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = func(string, error) {}
	}
	if cfg.Bounds == (ring.Config{}) {
		cfg.Bounds = ring.Default()
	}
	if cfg.Table.Keys == 0 {
		cfg.Table = claim.Default(cfg.Self.Ident, cfg.Now())
	}
	orElse(&cfg.Every, time.Second)
	orElse(&cfg.Turn, 500*time.Millisecond)
	orElse(&cfg.Poll, 30*time.Second)
	orElse(&cfg.Patience, time.Second)
	orElse(&cfg.Again, 20*time.Millisecond)
	return cfg
}

func orElse(d *time.Duration, standard time.Duration) {
	if *d == 0 {
		*d = standard
	}
}

// Claim answers the claim of another entry.
func (c *Claims) Claim(a claim.Ask) claim.Reply {
	reply := c.decide(a)
	if reply.Verdict == claim.WrongRing && a.Ring > reply.Ring {
		select {
		case c.kick <- a.By:
		default:
		}
	}
	return reply
}

func (c *Claims) decide(a claim.Ask) claim.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	if !c.cfg.Bounds.InContact(now, c.ring, c.cfg.Self.Ident, &c.contact) {
		return c.table.Recall(now, a)
	}
	return c.table.Claim(now, a)
}

// Settle takes the withdrawal or the outcome of a claim, and tells whether the
// claim was known.
func (c *Claims) Settle(s claim.Settlement) (known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Settle(c.cfg.Now(), s)
}

// Take adds the records of another replica, and gives the ring revision in
// force here and whether this is the incarnation that was meant.
func (c *Claims) Take(b Batch) (revision uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.To != c.cfg.Self.Ident {
		return c.ring.Revision, false
	}
	c.table.Take(c.cfg.Now(), b.Records)
	return c.ring.Revision, true
}

// Ring gives the ring in force. Its revision is 0 while there is none.
func (c *Claims) Ring() ring.Ring {
	r, _ := c.current()
	return r
}

// Synced gives the ring revision for which this entry has copied its records.
// Membership spreads it.
func (c *Claims) Synced() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced
}

// Clear tells whether this entry may stop: no ring counts on its records. An
// entry that is not yet in a ring is clear too.
func (c *Claims) Clear() bool {
	return !c.Ring().Has(c.cfg.Self.Ident)
}

// Keys gives the number of remembered keys, and the bytes of kept answers.
func (c *Claims) Keys() (keys, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len(), c.table.Bytes()
}

func (c *Claims) current() (r ring.Ring, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ring, c.changed
}

// adopt puts a newer ring in force. From then on the table refuses claims under
// the former one.
func (c *Claims) adopt(r ring.Ring) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.Newer(c.ring) {
		return false
	}
	c.ring = r
	c.since = c.cfg.Now()
	c.table.Adopt(r.Revision)
	c.contact.Keep(r)
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}
