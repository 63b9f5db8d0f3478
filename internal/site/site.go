// Package site runs a small site in one process on loopback, for trials and tests: a
// fake of the platform, fake targets, and entries or gateways. The entries and
// gateways are the same code that runs on VMs.
package site

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/entry"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/standin/target"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/tree"
)

// Config describes a site.
type Config struct {
	Region   string
	Places   []string // entries and targets are assigned to them round-robin
	Services []Service
	Entries  int
	Log      log.Interface
	Out      io.Writer // output of traces
	Trace    string    // trace exporter of the entries
}

// Service describes the targets of one service.
type Service struct {
	Name    string
	Targets int
	Slots   int
	Mean    time.Duration // mean service time
	Sigma   float64       // sigma of the lognormal service time
}

// Site is a running site.
type Site struct {
	Platform *platform.Platform
	Store    string // URL of the fake platform
	Entries  []*entry.Entry
	Targets  []*Target

	stopEntries context.CancelFunc
	entriesDone sync.WaitGroup
	servers     []*http.Server
}

// Target is a fake target with its address.
type Target struct {
	*target.Target
	Name    string
	Service string
	Addr    string
}

// Start starts the fakes and the entries. The store holds no settings yet; see Apply.
func Start(cfg Config) (s *Site, err error) {
	defer func() { err = errors.WithMessage(err, "site") }()
	s = &Site{Platform: platform.New(platform.Config{})}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	addr, err := s.serve(s.Platform)
	if err != nil {
		return nil, err
	}
	s.Store = "http://" + addr
	if err := s.startTargets(cfg); err != nil {
		return nil, err
	}
	return s, s.startEntries(cfg)
}

// Apply stores a settings file as the first document of an empty store.
func Apply(ctx context.Context, addr, file string, text []byte) (err error) {
	defer func() { err = errors.WithMessage(err, "settings") }()
	d, err := tree.Parse(file, text)
	if err != nil {
		return err
	}
	return ApplyDocument(ctx, addr, d)
}

// ApplyDocument stores a document as the first one of an empty store.
func ApplyDocument(ctx context.Context, addr string, d tree.Document) (err error) {
	d, err = tree.Seed(d, time.Now())
	if err != nil {
		return err
	}
	_, err = store.New(store.Config{Addr: addr}).Put(ctx, settings.Kind, settings.Name, 0, tree.Encode(d))
	return err
}

func (s *Site) serve(h http.Handler) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func (s *Site) startTargets(cfg Config) (err error) {
	for _, sv := range cfg.Services {
		for n := range sv.Targets {
			t := &Target{Name: fmt.Sprintf("%s-%d", sv.Name, n+1), Service: sv.Name}
			t.Target = target.New(target.Config{
				Name: t.Name, Service: sv.Name, Slots: sv.Slots, MeanServiceTime: sv.Mean, Sigma: sv.Sigma, Seed: uint64(n + 1),
			})
			if t.Addr, err = s.serve(t.Target); err != nil {
				return err
			}
			s.Targets = append(s.Targets, t)
			s.Platform.PutVM(platform.VM{
				ID: t.Name, Addr: t.Addr, Place: cfg.Places[n%len(cfg.Places)], Service: sv.Name,
				Slots: sv.Slots, Boot: 1, State: platform.Live,
			})
		}
	}
	return nil
}

func (s *Site) startEntries(cfg Config) (err error) {
	ctx, stop := context.WithCancel(context.Background())
	s.stopEntries = stop
	var seeds []string
	for n := range cfg.Entries {
		e, err := entry.New(entry.Config{
			File: entry.File{
				Name: fmt.Sprintf("entry-%d", n+1), Region: cfg.Region, Place: cfg.Places[n%len(cfg.Places)],
				Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0",
				Platform: s.Store, Seeds: seeds, Trace: cfg.Trace, Level: "warn",
			},
			Boot:        uint64(time.Now().UnixNano()),
			Log:         cfg.Log,
			TraceOutput: cfg.Out,
		})
		if err != nil {
			return err
		}
		seeds = append(seeds, e.Addresses().Peers)
		s.Entries = append(s.Entries, e)
		s.entriesDone.Go(func() { _ = e.Serve(ctx) })
	}
	return nil
}

// Callers returns the addresses of the entries' callers' listeners.
func (s *Site) Callers() (addrs []string) {
	for _, e := range s.Entries {
		addrs = append(addrs, e.Addresses().Callers)
	}
	return addrs
}

// readyPoll is the interval at which Ready polls an entry.
const readyPoll = 20 * time.Millisecond

// Ready waits until every entry is ready, which requires settings and the VM list.
func (s *Site) Ready(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "site not ready") }()
	for _, e := range s.Entries {
		for !e.Ready() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// DuplicateRuns returns the number of idempotency keys that targets ran more than once.
func (s *Site) DuplicateRuns() (n int) {
	runs := make(map[string]int)
	for _, t := range s.Targets {
		for _, r := range t.Runs() {
			if r.Key == "" {
				continue
			}
			if runs[r.Key]++; runs[r.Key] == 2 {
				n++
			}
		}
	}
	return n
}

// Kill tells the entries to stop and closes the fakes at once, without waiting for the
// entries. It is for measurements that need no graceful stop.
func (s *Site) Kill() {
	if s.stopEntries != nil {
		s.stopEntries()
	}
	s.closeServers()
}

func (s *Site) closeServers() {
	for _, srv := range s.servers {
		_ = srv.Close()
	}
}

// Close stops the entries gracefully, then the fakes.
func (s *Site) Close() {
	if s.stopEntries != nil {
		s.stopEntries()
	}
	s.entriesDone.Wait()
	s.closeServers()
}
