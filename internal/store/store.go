// Package store is the client of the platform's object store and VM list. Every
// call has a deadline, the rate of calls is limited so that a fleet of entries
// can share the store, and reads are retried with jitter. A write is attempted
// once: if its response is lost, the write may have taken effect, and the caller
// has to read the object to find out.
//
// Package platform in internal/standin implements the server side of the protocol.
package store

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/reply"
)

// Rate limits of one entry: rates in calls per second, and bursts in calls. The
// platform handles several hundred writes and about 2,000 reads a second. 300
// entries at these rates make 300 writes and 600 reads a second, and 1,800 reads in
// a second in which all of them use their bursts.
const (
	ReadRate   = 2
	ReadBurst  = 4
	WriteRate  = 1
	WriteBurst = 1
)

// DefaultTimeout bounds one attempt of a call. The store may take seconds to
// respond for a long period, and a slow response is better than a failed call.
const DefaultTimeout = 4 * time.Second

// Config configures a Client. A zero value selects the default.
type Config struct {
	Addr    string // base address such as http://10.0.0.9:7400
	HTTP    *http.Client
	Reads   *rate.Limiter
	Writes  *rate.Limiter
	Timeout time.Duration // of one attempt
	Backoff Backoff
	Rand    *rand.Rand // source of jitter
	// OnDecodeError is called each time that an object can't be decoded; may be nil. name is
	// empty if it is unknown.
	OnDecodeError func(kind, name string, err error)
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	addr    string
	http    *http.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	timeout time.Duration
	backoff Backoff
	mu      sync.Mutex // guards rand
	rand    *rand.Rand
	counts  [numCounters]atomic.Uint64
	cache   responseCache

	onDecodeError func(kind, name string, err error)
}

// New returns a Client for the platform at c.Addr.
func New(c Config) *Client {
	s := &Client{
		addr:    strings.TrimSuffix(c.Addr, "/"),
		http:    c.HTTP,
		reads:   c.Reads,
		writes:  c.Writes,
		timeout: c.Timeout,
		backoff: c.Backoff,
		rand:    c.Rand,

		onDecodeError: c.OnDecodeError,
	}
	if !strings.Contains(s.addr, "://") {
		s.addr = "http://" + s.addr
	}
	if s.http == nil {
		s.http = &http.Client{Transport: reply.Transport{Transport: &http.Transport{
			DialContext: dial.New(dial.Config{}).DialContext, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeaderBytes,
		}}}
	}
	if s.reads == nil {
		s.reads = rate.NewLimiter(ReadRate, ReadBurst)
	}
	if s.writes == nil {
		s.writes = rate.NewLimiter(WriteRate, WriteBurst)
	}
	if s.timeout <= 0 {
		s.timeout = DefaultTimeout
	}
	if s.backoff == (Backoff{}) {
		s.backoff = DefaultBackoff
	}
	if s.rand == nil {
		s.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return s
}

// Object is one stored object.
type Object struct {
	Kind    string
	Name    string
	Version uint64
	Value   []byte
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// VM is one element of the VM list. The list lags behind the state of the VMs.
type VM struct {
	ID      string
	Addr    string // host:port
	Place   string
	Service string
	Slots   int
	Boot    uint64
	State   string // Live or Leaving
}

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// pause waits for the backoff delay after a failed attempt.
func (s *Client) pause(ctx context.Context, attempt int) error {
	s.mu.Lock()
	d := s.backoff.Next(attempt, s.rand)
	s.mu.Unlock()
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
