// Package settings keeps the settings document of one entry: it takes the
// document from the store, from peers and from operators' edits, has the newest
// one in force, and never goes back to an older one.
//
// One worker owns the document. Traffic reads it from an atomic pointer, all
// else goes to the owner as typed messages. An edit is accepted when the store
// holds it, and is then spread between the entries without the store's help.
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

// Kind and Name are where the store holds the document.
const (
	Kind = "settings"
	Name = "tree"
)

// MaxSize is the longest document in bytes that is written. The store holds
// values up to a megabyte.
const MaxSize = 900 << 10

// Store is what the package needs of the platform; store.Client has it.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Put(ctx context.Context, kind, name string, expected uint64, value []byte) (uint64, error)
	Follow(ctx context.Context, f store.Follow) error
}

// Peers asks some live peer for what lacks since a revision.
type Peers interface {
	Settings(ctx context.Context, since uint64) (Change, error)
}

// Config is what Settings is built from.
type Config struct {
	Store Store
	Peers Peers         // nil when there are none
	Poll  time.Duration // of the store besides its watch; store.DefaultPoll when 0
	Log   log.Interface
	Rand  *rand.Rand                                       // source of jitter
	Now   func() time.Time                                 // time.Now when nil
	Wait  func(ctx context.Context, d time.Duration) error // a timer when nil
}

// Settings is the document of one entry with its workers.
type Settings struct {
	cfg     Config
	force   atomic.Pointer[tree.Document]
	inbox   chan message
	changed chan struct{}
	healing chan struct{}
	editing chan struct{}
	mu      sync.Mutex // guards cfg.Rand
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
		cfg:     cfg,
		inbox:   make(chan message),
		changed: make(chan struct{}, 1),
		healing: make(chan struct{}, 1),
		editing: make(chan struct{}, 1),
	}
	empty := tree.New()
	s.force.Store(&empty)
	return s
}

// Document returns the document in force. It must not be changed.
func (s *Settings) Document() *tree.Document {
	return s.force.Load()
}

// Changed is told after another document came into force. One word may stand
// for several changes.
func (s *Settings) Changed() <-chan struct{} {
	return s.changed
}

// Worker is one of the parts that a supervisor runs and restarts on its own.
type Worker struct {
	name  string
	serve func(ctx context.Context) error
}

// Serve runs until ctx is done.
func (w *Worker) Serve(ctx context.Context) error { return w.serve(ctx) }

// String names the worker.
func (w *Worker) String() string { return w.name }

// Workers returns the workers that must run for Settings to do anything.
func (s *Settings) Workers() []*Worker {
	workers := []*Worker{
		{"settings", s.own},
		{"settings follow", s.follow},
		{"settings heal", s.heal},
	}
	if s.cfg.Peers != nil {
		workers = append(workers, &Worker{"settings boot", s.boot})
	}
	return workers
}

// between draws a pause between d/2 and d.
func (s *Settings) between(d time.Duration) time.Duration {
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
