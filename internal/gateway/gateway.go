package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"plumpitch.example/plumpitch/internal/forward"
	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/admission"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/grace"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/platform"
)

// Config configures a Gateway.
type Config struct {
	Settings    platform.Settings
	Boot        uint64 // incarnation; grows with each start
	MetricsPort int    // port of the metrics and the status; 0 takes a free one
	// ListenPacket opens the socket for datagrams of other entries; nil means net.ListenPacket.
	ListenPacket func(network, address string) (net.PacketConn, error)
	// Dial opens TCP connections to other entries; nil means that of relay.Relay.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTarget opens TCP connections to targets; nil means that of forward.Forwarder.
	DialTarget func(ctx context.Context, network, address string) (net.Conn, error)
	Log        log.Interface
}

// Gateway is one entry: a process that serves callers.
type Gateway struct {
	cfg     Config
	log     log.Interface
	self    owner.Entry
	store   *platform.Store
	forward *forward.Forwarder
	guard   *guard.Guard
	peers   *forward.Forwarder // to other entries
	// passedOnActive is how many requests that other entries have passed on are being served.
	passedOnActive atomic.Int64
	relay          *relay.Relay
	control        *control
	suspects       *call.Suspects
	endChecks      endChecks
	parseErrors    *logs.ParseErrors
	leaving        atomic.Bool
	period         atomic.Pointer[grace.Period] // of a stop; set just before leaving
	selfID         atomic.Pointer[member.ID]    // this incarnation's ID in the membership
	enrolled       atomic.Bool                  // this entry has a record in the store
	restores       atomic.Uint64                // restores of the store from a copy since the start
	started        time.Time
	initialized    chan struct{}   // closed once a view has everything needed to choose a target
	serving        context.Context // ends when a stop gives up the unfinished requests
	endServing     context.CancelFunc
	giveUp         <-chan struct{} // closed at the end of serving
	bounds         atomic.Pointer[platform.Bounds]
	view           atomic.Pointer[view]

	freshness *freshness
	quotas    *quotas

	instruments instruments

	frontListener, readyListener, directoryListener, metricsListener net.Listener
}

// Limits of connections to targets.
const (
	// targetAckTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. It covers several round trips and the first
	// retransmission of a lost packet, and is shorter than the shortest deadline.
	targetAckTimeout = 500 * time.Millisecond
	// targetConnectTimeout is how long connecting may take: a hundred round trips. A
	// request without a connection was not sent and goes to another target.
	targetConnectTimeout = 250 * time.Millisecond
	// targetIdleTimeout is shorter than the 10 s after which targets close idle
	// connections, so that requests seldom use a connection that is about to close.
	targetIdleTimeout = 8 * time.Second
	// maxBufferedResponse is the largest response, in bytes, that is read completely
	// before it is forwarded.
	maxBufferedResponse = 1 << 20
)

// New creates a gateway and opens its listeners, so that an address in use is reported
// before anything starts.
func New(cfg Config) (g *Gateway, err error) {
	defer func() { err = errors.WithMessage(err, "gateway "+cfg.Settings.Name) }()
	s := cfg.Settings
	i := newInstruments(s.Name)
	room := guard.New(guard.Config{Memory: s.Memory, Files: s.MaxFiles, Cores: s.Cores, Scope: i.Scope, Log: cfg.Log})
	g = &Gateway{
		cfg: cfg, log: cfg.Log, started: time.Now(), initialized: make(chan struct{}), guard: room,
		forward: forward.New(forward.Config{
			EchoHeader: platform.HeaderRequestID, UnackedTimeout: targetAckTimeout, ConnectTimeout: targetConnectTimeout, IdleTimeout: targetIdleTimeout, MaxBufferedBytes: maxBufferedResponse,
			Dial: cfg.DialTarget, IsRefusal: platform.NotRun, Buffers: room,
		}),
		peers: forward.New(forward.Config{
			EchoHeader: platform.HeaderRequestID, UnackedTimeout: targetAckTimeout, ConnectTimeout: targetConnectTimeout, MaxBufferedBytes: maxBufferedResponse,
			Buffers: room,
		}),
		suspects:    call.NewSuspects(call.SuspectsConfig{CrashLimit: crashLimit}),
		parseErrors: logs.NewParseErrors(cfg.Log),
		instruments: i,
		freshness:   newFreshness(),
	}
	g.serving, g.endServing = context.WithCancel(context.Background())
	g.giveUp = g.serving.Done()
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.view.Store(&view{})
	g.bounds.Store(&s.Bounds)
	g.store = platform.NewStore(platform.StoreConfig{
		Address: s.StoreAddress, Name: s.Name, HTTP: storeClient(),
		OnDecodeError: func(kind, name string, err error) {
			g.instruments.refusedObjects(kind).Inc(1)
			g.parseErrors.Object(time.Now(), kind, name, err)
		},
	})
	g.control = newControl(g)
	g.quotas = newQuotas(g)
	if g.relay, err = relay.New(relay.Config{
		Address: net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[0])),
		Source:  g.control, OnPacket: g.receivePacket, Log: g.log, OnRequest: http.HandlerFunc(g.servePassedOn),
		Self:   func() member.ID { return *g.selfID.Load() },
		OnSent: g.instruments.countSent, OnLost: func(packets int) { g.instruments.packetsLost.Inc(int64(packets)) }, ListenPacket: cfg.ListenPacket, Dial: cfg.Dial,
		Listen: guard.Listen, Guard: g.guard.At(admission.Entries), MaxHeaderBytes: g.maxHeaderBytes,
	}); err != nil {
		g.closeListeners()
		return nil, err
	}
	g.self = owner.Entry{
		Name: s.Name, Boot: cfg.Boot, CallerAddress: g.frontListener.Addr().String(), PeerAddress: g.relay.Address(),
		Place: s.Place, Region: s.Region, Capacity: capacity(s),
	}
	g.control.members = member.New(g.memberConfig())
	g.control.updateIdentity()
	return g, nil
}

// Capacity of an entry by its resources.
const (
	// requestsPerCore is the capacity of a core in requests per second, with room for
	// bursts: a request with its load probes takes 0.6 ms of CPU time. A lower capacity
	// means more owners per host, each of which knows less about the load of the targets.
	requestsPerCore = 800
	// requestsPerMbps is the capacity of 1 Mbit/s in requests per second: each request
	// transfers up to 5 KB in each direction, twice.
	requestsPerMbps = 10
)

// capacity returns an entry's capacity in requests per second.
func capacity(s platform.Settings) float64 {
	c := s.Cores * requestsPerCore
	if s.LinkMbps > 0 {
		c = min(c, s.LinkMbps*requestsPerMbps)
	}
	return c
}

// crashLimit is how many targets in a row a request may crash before it is quarantined,
// that is, refused for a time.
const crashLimit = 3

// listen opens all listeners, or none if one fails.
func (g *Gateway) listen() (err error) {
	cfg := g.cfg
	s := cfg.Settings
	for _, l := range []struct {
		name     string
		listener *net.Listener
		addr     string
	}{
		{"front", &g.frontListener, s.CallerAddress},
		{"ready", &g.readyListener, s.ReadyAddress},
		{"directory", &g.directoryListener, s.DirectoryAddress},
		{"metrics", &g.metricsListener, net.JoinHostPort(s.IP, strconv.Itoa(cfg.MetricsPort))},
	} {
		if *l.listener, err = guard.Listen(l.addr); err != nil {
			g.closeListeners()
			return errors.WithMessage(err, l.name)
		}
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (g *Gateway) closeListeners() {
	for _, l := range []net.Listener{g.frontListener, g.readyListener, g.directoryListener, g.metricsListener} {
		if l != nil {
			l.Close()
		}
	}
}

// Serve runs until ctx ends, then stops gracefully.
func (g *Gateway) Serve(ctx context.Context) (err error) {
	traffic, stopTraffic := context.WithCancel(context.Background())
	defer stopTraffic()
	s := suture.New("gateway", suture.Spec{EventHook: func(ev suture.Event) {
		g.log.WithFields(log.Fields(ev.Map())).Warn("supervisor: " + ev.String())
	}})
	s.Add(g.control)
	s.Add(g.relay)
	s.Add(g.quotas)
	s.Add(&enroller{gateway: g})
	s.Add(&suspectRecorder{gateway: g})
	s.Add(newConfigReader(g))
	s.Add(newTargetReader(g))
	s.Add(newEvacuationReader(g))
	supervisor := s.ServeBackground(traffic)
	front := g.frontServer()
	aux := g.auxHandler()
	failed := make(chan error, 4)
	go func() { failed <- front.Serve(g.frontListener) }()
	go func() { failed <- g.auxServer(admission.Checks, aux).Serve(g.readyListener) }()
	go func() { failed <- g.auxServer(admission.Lookups, aux).Serve(g.directoryListener) }()
	go func() { failed <- g.auxServer(admission.Operators, g.operatorHandler()).Serve(g.metricsListener) }()
	defer g.instruments.Close()
	g.log.WithFields(log.Fields{
		"front": g.self.CallerAddress, "peer": g.self.PeerAddress, "metrics": g.metricsListener.Addr().String(), "capacity": g.self.Capacity,
	}).Info(logs.MessageStarted)
	select {
	case <-ctx.Done():
		g.stop(front)
	case err = <-failed:
		err = errors.WithMessage(err, "listener")
	case err = <-supervisor:
		err = errors.WithMessage(err, "control")
	}
	g.log.WithField("cause", stopCause(err)).Info("gateway stopped")
	return err
}

// stopCause returns the log text for the reason of a stop.
func stopCause(err error) string {
	if err == nil {
		return "asked to stop"
	}
	return err.Error()
}
