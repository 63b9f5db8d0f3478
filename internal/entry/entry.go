// Package entry implements the long-running entry process: the listeners for
// callers, peers and operators, the control loop and the handling of requests.
//
// A supervisor tree restarts workers that fail. The control loop is the only
// owner of control state; the traffic side reads the snapshots that it
// publishes.
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

	"plumpitch.example/plumpitch/internal/callers"
	"plumpitch.example/plumpitch/internal/claims"
	"plumpitch.example/plumpitch/internal/dial"
	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/internal/members"
	"plumpitch.example/plumpitch/internal/metrics"
	"plumpitch.example/plumpitch/internal/peer"
	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/internal/store"
	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
)

// Limits on one entry's reads of the store.
const (
	storeReadsPerSecond = 4
	storeReadBurst      = 8
)

// maxIdleStoreConns limits the idle connections to the store.
const maxIdleStoreConns = 4

// Config configures an Entry.
type Config struct {
	File        File
	Boot        uint64 // incarnation; grows with each start
	Log         log.Interface
	TraceOutput io.Writer // to which the stdout exporter writes spans
}

// Entry is one entry process.
type Entry struct {
	cfg                 Config
	log                 log.Interface
	parseErrors         *logs.ParseErrors
	skipTargetResponses bool          // don't log requests that a target responded to
	supersededSignal    chan struct{} // signals that a later incarnation is running
	leaving             atomic.Bool   // leave has begun
	stopTimeout         time.Duration // of each step of a stop

	snapshot atomic.Pointer[snapshot]
	forward  *forward.Forwarder
	suspects *call.Suspects
	// suspectReports numbers the reports of suspects, in growing order over all incarnations.
	suspectReports atomic.Uint64
	prober         *prober
	metrics        metrics.Metrics
	tracing        tracing

	store    *store.Client
	control  *control
	counters *peer.Counters
	client   *peer.Client
	settings *settings.Settings
	members  *members.Members
	claims   *claims.Claims
	relay    *relay

	claimRate *rate.Limiter // this entry's share of claimWritesPerSecond

	guard     *guard.Guard // of all listeners
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// New builds an entry and opens its listeners, so that an address in use is
// reported before anything starts.
func New(cfg Config) (e *Entry, err error) {
	defer func() { err = errors.WithMessage(err, "entry "+cfg.File.Name) }()
	e = &Entry{
		cfg:              cfg,
		log:              cfg.Log.WithField("entry", cfg.File.Name),
		forward:          forward.New(forward.Config{}),
		metrics:          metrics.New(cfg.File.Name),
		supersededSignal: make(chan struct{}, 1),
		stopTimeout:      stopTimeout,
		prober:           newProber(),
		suspects:         call.NewSuspects(call.SuspectsConfig{}),
	}
	e.parseErrors = logs.NewParseErrors(e.log)
	e.suspectReports.Store(cfg.Boot)
	e.snapshot.Store(&snapshot{})
	e.skipTargetResponses = cfg.File.Level != "debug"
	if e.tracing, err = newTracing(cfg.File.Trace, cfg.TraceOutput); err != nil {
		return nil, err
	}
	e.guard = e.newGuard()
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.store = store.New(store.Config{
		Addr: cfg.File.Platform, HTTP: e.storeHTTPClient(), Reads: rate.NewLimiter(storeReadsPerSecond, storeReadBurst), OnDecodeError: e.logDecodeError,
	})
	e.control = newControl(e)
	e.build()
	return e, nil
}

func (e *Entry) logDecodeError(kind, name string, err error) {
	e.parseErrors.Object(time.Now(), kind, name, err)
}

func (e *Entry) storeHTTPClient() *http.Client {
	t := reply.Transport{Transport: &http.Transport{
		DialContext: dial.New(dial.Config{}).DialContext, MaxIdleConnsPerHost: maxIdleStoreConns, MaxResponseHeaderBytes: maxOutsideHeader,
	}}
	return &http.Client{Transport: tracedTransport{&e.tracing, "store", t}}
}

// listen opens all three listeners. On an error it closes those already open.
func (e *Entry) listen() (err error) {
	f := e.cfg.File
	for _, l := range []struct {
		field    string
		listener *net.Listener
		addr     string
	}{
		{"callers", &e.callers, f.Callers},
		{"peers", &e.peers, f.Peers},
		{"operators", &e.operators, f.Operators},
	} {
		if *l.listener, err = guard.Listen(l.addr); err != nil {
			e.closeListeners()
			return errors.WithMessage(err, l.field)
		}
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.peers, e.operators} {
		if l != nil {
			l.Close()
		}
	}
}

// Ready reports whether settings are in force and the VM list is known.
func (e *Entry) Ready() bool {
	s := e.snapshot.Load()
	return s.revision > 0 && s.vmsKnown
}

// Addresses holds the host:port of each listener. They differ from those in File
// where it specifies port 0.
type Addresses struct {
	Callers   string
	Peers     string
	Operators string
}

// Addresses returns the addresses that the entry listens on.
func (e *Entry) Addresses() Addresses {
	return Addresses{Callers: e.callers.Addr().String(), Peers: e.peers.Addr().String(), Operators: e.operators.Addr().String()}
}

// self returns this incarnation as gossiped to other entries.
func (e *Entry) self() member.Entry {
	f := e.cfg.File
	return member.Entry{
		ID:            member.ID{Name: f.Name, Boot: e.cfg.Boot},
		CallerAddress: e.callers.Addr().String(), PeerAddress: e.peers.Addr().String(), Place: f.Place, Region: f.Region,
	}
}

// Serve runs the entry until ctx ends or a later incarnation of it is running.
// It then removes the entry from locate, waits until every locate response that
// contained it has expired, and lets the requests in flight finish.
//
// Traffic stops before control, since a request in flight still needs claims to
// record its outcome.
func (e *Entry) Serve(ctx context.Context) (err error) {
	defer e.close()
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	trafficCtx, stopTraffic := context.WithCancel(context.Background())
	defer stopTraffic()
	controlDone := e.controlSupervisor().ServeBackground(controlCtx)
	trafficDone := e.trafficSupervisor().ServeBackground(trafficCtx)
	select {
	case <-ctx.Done():
	case <-e.supersededSignal:
		err = errSuperseded
	case err = <-controlDone:
		return errors.WithMessage(err, "control")
	case err = <-trafficDone:
		return errors.WithMessage(err, "traffic")
	}
	e.leave()
	stopTraffic()
	<-trafficDone
	e.announceDeparture()
	stopControl()
	<-controlDone
	return err
}

func (e *Entry) close() {
	e.claims.Close()
	e.client.Close()
	e.forward.Close()
	e.tracing.close()
	e.metrics.Close()
}

var errSuperseded = errors.New("a later incarnation of this entry is running")

// superseded stops this incarnation because a later one is running.
func (e *Entry) superseded() {
	select {
	case e.supersededSignal <- struct{}{}:
	default:
	}
}

// controlSupervisor returns the supervisor of the control workers. It restarts a
// worker that fails without affecting the others; a worker keeps its state across
// the restart.
func (e *Entry) controlSupervisor() *suture.Supervisor {
	s := suture.New("control", suture.Spec{EventHook: e.logSupervisorEvent, Timeout: stopTimeout})
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

// trafficSupervisor returns the supervisor of the servers for callers and operators.
func (e *Entry) trafficSupervisor() *suture.Supervisor {
	s := suture.New("traffic", suture.Spec{EventHook: e.logSupervisorEvent, Timeout: maxRequestTime + e.stopTimeout})
	c := e.newServer("callers", admission.Traffic, e.callers, e.callerHandler())
	c.timeout = e.requestTimeout
	s.Add(c)
	s.Add(e.newServer("operators", admission.Operators, e.operators, e.operatorHandler()))
	return s
}

func (e *Entry) logSupervisorEvent(ev suture.Event) {
	e.log.WithFields(log.Fields(ev.Map())).Warn("supervisor: " + ev.String())
}

// server serves HTTP on one of the entry's listeners.
type server struct {
	name     string
	timeout  func() time.Duration // of the shutdown
	listener net.Listener
	http     *callers.Server
}

// Limits of the servers for callers and operators.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
)

// newServer returns a server for callers or operators.
func (e *Entry) newServer(name string, class admission.Class, listener net.Listener, h http.Handler) *server {
	return &server{name: name, timeout: func() time.Duration { return e.stopTimeout }, listener: listener, http: callers.New(callers.Config{
		Handler:        h,
		HeaderTimeout:  func() time.Duration { return headerTimeout },
		IdleTimeout:    func() time.Duration { return idleTimeout },
		MaxHeaderBytes: func() int { return maxHeaderBytes },
		Guard:          e.guard.At(class), Log: e.log,
	})}
}

// stopTimeout limits each step of a graceful stop.
const stopTimeout = time.Minute

// shutdownContext returns a context for one step of a graceful stop. It ends after
// stopTimeout.
func shutdownContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	time.AfterFunc(stopTimeout, cancel)
	return ctx
}

// Serve runs until ctx ends, then lets requests in flight finish.
func (s *server) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.http.Serve(s.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout())
		defer cancel()
		return s.http.Shutdown(ctx)
	}
}

func (s *server) String() string { return s.name }
