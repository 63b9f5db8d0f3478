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

	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/members"
	"plumpitch.example/plumpitch/internal/metrics"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
)

// Rates at which one entry may read the store.
const (
	readRate  = 4
	readBurst = 8
)

// storeConns is how many idle connections to the store are kept.
const storeConns = 4

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
	quiet    bool // answers that targets gave are not logged
	stop     chan struct{}
	stopping atomic.Bool // the entry is on its way out

	site     atomic.Pointer[site]
	forward  *forward.Forwarder
	suspects *call.Suspects
	prober   *prober
	metrics  metrics.Metrics
	tracing  tracing

	store    *store.Client
	control  *control
	counters *peer.Counters
	client   *peer.Client
	settings *settings.Settings
	members  *members.Members
	claims   *claims.Claims
	relay    *relay

	claimRate *rate.Limiter // of this entry's part of claimWrites

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
		metrics:  metrics.New(cfg.File.Name),
		stop:     make(chan struct{}, 1),
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
	e.store = store.New(store.Config{Addr: cfg.File.Platform, HTTP: e.storeCalls(), Reads: rate.NewLimiter(readRate, readBurst)})
	e.control = newControl(e)
	e.build()
	return e, nil
}

func (e *Entry) storeCalls() *http.Client {
	t := &http.Transport{MaxIdleConnsPerHost: storeConns}
	return &http.Client{Transport: tracedCalls{&e.tracing, "store", t}}
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

// Ready tells whether settings are in force and targets are known.
func (e *Entry) Ready() bool {
	s := e.site.Load()
	return s.revision > 0 && s.listed
}

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
func (e *Entry) self() member.Entry {
	f := e.cfg.File
	return member.Entry{
		ID:     member.ID{Name: f.Name, Boot: e.cfg.Boot},
		Caller: e.callers.Addr().String(), Peer: e.peers.Addr().String(), Place: f.Place, Region: f.Region,
	}
}

// Serve runs the entry until ctx ends, then takes it out of locate, lets every
// answer that named it expire, and stops between requests.
//
// Traffic ends before control: a request in flight still needs claims, which
// record its outcome.
func (e *Entry) Serve(ctx context.Context) (err error) {
	defer e.close()
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	traffic, stopTraffic := context.WithCancel(context.Background())
	defer stopTraffic()
	below := e.controlSupervisor().ServeBackground(control)
	above := e.trafficSupervisor().ServeBackground(traffic)
	select {
	case <-ctx.Done():
	case <-e.stop:
		err = errSuperseded
	case err = <-below:
		return errors.WithMessage(err, "control")
	case err = <-above:
		return errors.WithMessage(err, "traffic")
	}
	e.leave()
	stopTraffic()
	<-above
	e.depart()
	stopControl()
	<-below
	return err
}

func (e *Entry) close() {
	e.claims.Close()
	e.client.Close()
	e.forward.Close()
	e.tracing.close()
	e.metrics.Close()
}

// errSuperseded says that a later start of this entry's name is up.
var errSuperseded = errors.New("a later start of this entry is up")

// superseded stops this incarnation.
func (e *Entry) superseded() {
	select {
	case e.stop <- struct{}{}:
	default:
	}
}

// controlSupervisor restarts a control worker that dies without touching the
// others. What they know outlives their restart.
func (e *Entry) controlSupervisor() *suture.Supervisor {
	s := suture.New("control", suture.Spec{EventHook: e.supervised, Timeout: graceTime})
	s.Add(e.control)
	s.Add(e.relay)
	s.Add(e.members)
	s.Add(e.claims)
	for _, w := range e.settings.Workers() {
		s.Add(w)
	}
	s.Add(&platformWorker{store: e.store, control: e.control})
	s.Add(&reporter{entry: e})
	s.Add(e.peerServer())
	return s
}

// trafficSupervisor holds the listeners of callers and operators.
func (e *Entry) trafficSupervisor() *suture.Supervisor {
	s := suture.New("traffic", suture.Spec{EventHook: e.supervised, Timeout: graceTime})
	s.Add(newServer("callers", e.callers, e.callerHandler()))
	s.Add(newServer("operators", e.operators, e.operatorHandler()))
	return s
}

func (e *Entry) supervised(ev suture.Event) {
	e.log.WithFields(log.Fields(ev.Map())).Warn("supervisor: " + ev.String())
}

// server serves HTTP on one of the entry's listeners.
type server struct {
	name string
	on   net.Listener
	http *http.Server
}

// newServer bounds what a slow or greedy client can hold.
func newServer(name string, on net.Listener, h http.Handler) *server {
	return &server{name: name, on: on, http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    64 << 10,
	}}
}

// graceTime bounds a graceful stop.
const graceTime = time.Minute

// closing is the context of what has to end during a stop.
func closing() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), graceTime)
	time.AfterFunc(graceTime, cancel)
	return ctx
}

// Serve runs until ctx ends, then lets requests in flight finish.
func (s *server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.on) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return s.http.Shutdown(closing())
	}
}

func (s *server) String() string { return s.name }
