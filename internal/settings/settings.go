// Package settings maintains the settings document of one entry. It receives the
// document from the store, from peers and through operators' edits, keeps the
// newest one in force, and never returns to an older one.
//
// One goroutine owns the document. Readers load it from an atomic pointer; all
// changes are sent to the owner as typed messages. An edit is accepted when it is
// in the store. Accepted edits then propagate between the entries without the
// store.
package settings

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Kind and Name identify the document's object in the store.
const (
	Kind = "settings"
	Name = "tree"
)

// MaxSize is the maximum size in bytes of a document that is written. The store
// accepts values of up to 1 MB.
const MaxSize = 900 << 10

// Store is the part of the platform's store that the package uses. store.Client
// implements it.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error)
	Follow(ctx context.Context, f store.Follow) error
}

// Peers requests the changes after a revision from a live peer.
type Peers interface {
	Settings(ctx context.Context, since uint64) (Change, error)
}

// Config configures Settings.
type Config struct {
	Store Store
	Peers Peers         // nil when there are none
	Poll  time.Duration // poll interval of the store in addition to the watch; store.DefaultPoll when 0
	Log   log.Interface
	Rand  *rand.Rand                                       // source of jitter
	Now   func() time.Time                                 // time.Now when nil
	Wait  func(ctx context.Context, d time.Duration) error // a timer when nil
}

// Settings is the settings document of one entry, with the workers that update it.
type Settings struct {
	cfg          Config
	current      atomic.Pointer[tree.Document]
	inbox        chan message
	changed      chan struct{}
	repairNeeded chan struct{}
	editSlot     chan struct{} // holds a value while an edit is written; one at a time
	mu           sync.Mutex    // guards cfg.Rand
}

// New returns Settings with the empty document in force.
func New(cfg Config) *Settings {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Wait == nil {
		cfg.Wait = wait
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Settings{
		cfg:          cfg,
		inbox:        make(chan message),
		changed:      make(chan struct{}, 1),
		repairNeeded: make(chan struct{}, 1),
		editSlot:     make(chan struct{}, 1),
	}
	empty := tree.New()
	s.current.Store(&empty)
	return s
}

// Document returns the document in force. The caller must not modify it.
func (s *Settings) Document() *tree.Document {
	return s.current.Load()
}

// Changed returns a channel that receives a value after the document in force has
// changed. One value may stand for several changes.
func (s *Settings) Changed() <-chan struct{} {
	return s.changed
}

// Worker is a part of Settings that a supervisor runs and restarts separately.
type Worker struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs until ctx is done.
func (w *Worker) Serve(ctx context.Context) error { return w.serve(ctx) }

// String returns the worker's name.
func (w *Worker) String() string { return w.name }

// Workers returns the workers of Settings. All of them must run.
func (s *Settings) Workers() []*Worker {
	workers := []*Worker{
		{"settings", s.processInbox},
		{"settings follow", s.followStore},
		{"settings heal", s.repairStore},
	}
	if s.cfg.Peers != nil {
		workers = append(workers, &Worker{"settings boot", s.bootstrap})
	}
	return workers
}

// jitter returns a random delay between d/2 and d.
func (s *Settings) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.cfg.Rand.Int64N(int64(d/2)+1))
}

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
