// Package entry is the long-running process: the callers', peers' and
// operators' listeners, the control loop and the path of a request.
//
// A supervisor tree restarts what dies. The control loop is the one owner of
// control state; traffic reads the snapshots that it publishes.
package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
	"golang.org/x/time/rate"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/ring"
)

// Rates at which one entry may read the store.
const (
	readRate  = 4
	readBurst = 8
)

// Config builds an Entry.
type Config struct {
	File File
	Boot uint64 // incarnation; grows with each start
	Log  log.Interface
	Out  io.Writer // of traces
}

// Entry is one entry process.
type Entry struct {
	cfg      Config
	log      log.Interface
	site     atomic.Pointer[site]
	forward  *forward.Forwarder
	metrics  metrics
	tracing  tracing
	store    *store.Client
	prober   *prober
	suspects *call.Suspects
	control  *control

	stopping atomic.Bool // the entry is on its way out
	quiet    bool        // answers that targets gave are not logged

	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New opens the listeners, so that a taken address is told before anything
// starts.
func New(cfg Config) (e *Entry, err error) {
	defer func() { err = errors.WithMessage(err, "entry "+cfg.File.Name) }()
	e = &Entry{
		cfg:      cfg,
		log:      cfg.Log.WithField("entry", cfg.File.Name),
		forward:  forward.New(forward.Config{}),
		metrics:  newMetrics(cfg.File.Name),
		prober:   newProber(),
		suspects: call.NewSuspects(call.SuspectsConfig{}),
	}
	e.site.Store(&site{})
	e.quiet = cfg.File.Level != "debug"
	if e.tracing, err = newTracing(cfg.File.Trace, cfg.Out); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.store = store.New(store.Config{Addr: cfg.File.Platform, Reads: rate.NewLimiter(readRate, readBurst)})
	e.control = newControl(e)
	return e, nil
}

// listen opens the three listeners, or none.
func (e *Entry) listen() (err error) {
	f := e.cfg.File
	for _, l := range []struct {
		field string
		on    *net.Listener
		addr  string
	}{
		{"callers", &e.callers, f.Callers},
		{"peers", &e.peers, f.Peers},
		{"operators", &e.operators, f.Operators},
	} {
		if *l.on, err = net.Listen("tcp", l.addr); err != nil {
			e.unlisten()
			return errors.WithMessage(err, l.field)
		}
	}
	return nil
}

func (e *Entry) unlisten() {
	for _, l := range []net.Listener{e.callers, e.peers, e.operators} {
		if l != nil {
			l.Close()
		}
	}
}

// Ready tells whether settings are in force.
func (e *Entry) Ready() bool { return e.site.Load().revision > 0 }

// Addresses are where the entry listens, which differs from its file where
// that names port 0.
type Addresses struct {
	Callers   string
	Peers     string
	Operators string
}

// Addresses returns where the entry listens.
func (e *Entry) Addresses() Addresses {
	return Addresses{Callers: e.callers.Addr().String(), Peers: e.peers.Addr().String(), Operators: e.operators.Addr().String()}
}

// self is this incarnation as other entries know it.
func (e *Entry) self() ring.Member {
	f := e.cfg.File
	return ring.Member{
		Ident:  ring.Ident{Name: f.Name, Boot: e.cfg.Boot},
		Caller: e.callers.Addr().String(), Peer: e.peers.Addr().String(), Place: f.Place, Region: f.Region,
	}
}

// Serve runs the entry until ctx ends, then takes it out of locate, lets every
// answer that named it expire, and stops between requests.
func (e *Entry) Serve(ctx context.Context) (err error) {
	run, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-ctx.Done():
			e.leave()
			stop()
		case <-run.Done():
		}
	}()
	err = e.supervisor().Serve(run)
	e.tracing.close()
	e.metrics.close()
	e.forward.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// supervisor draws the tree: control workers may die and are restarted without
// the listeners, and the other way round.
func (e *Entry) supervisor() *suture.Supervisor {
	spec := suture.Spec{EventHook: e.supervised, Timeout: graceTime}
	control := suture.New("control", spec)
	control.Add(e.control)
	control.Add(&platformWorker{store: e.store, control: e.control})
	traffic := suture.New("traffic", spec)
	traffic.Add(&listener{name: "callers", on: e.callers, handler: e.callerHandler()})
	traffic.Add(&listener{name: "operators", on: e.operators, handler: e.operatorHandler()})
	top := suture.New("entry", spec)
	top.Add(control)
	top.Add(traffic)
	return top
}

func (e *Entry) supervised(ev suture.Event) {
	e.log.WithFields(log.Fields(ev.Map())).Warn("supervisor: " + ev.String())
}

// left spreads that a target is leaving.
func (e *Entry) left(target string, boot uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.control.tell(ctx, targetLeaves{target, boot})
}

// listener serves HTTP on one of the entry's listeners.
type listener struct {
	name    string
	on      net.Listener
	handler http.Handler
}

// graceTime bounds a graceful stop.
const graceTime = 30 * time.Second

// closing is the context of what has to end during a stop.
func closing() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), graceTime)
	time.AfterFunc(graceTime, cancel)
	return ctx
}

// Serve runs until ctx ends, then lets requests in flight finish.
func (l *listener) Serve(ctx context.Context) error {
	srv := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    64 << 10,
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l.on) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return srv.Shutdown(closing())
	}
}

func (l *listener) String() string { return l.name }
