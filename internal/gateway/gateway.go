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
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/internal/relay"
	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/pkg/member"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/platform"
)

// Config builds a Gateway.
type Config struct {
	Settings platform.Settings
	Boot     uint64 // incarnation; grows with each start
	Metrics  int    // port of scrapes; 0 takes a free one
	Log      log.Interface
}

// Gateway is one entry process.
type Gateway struct {
	cfg      Config
	log      log.Interface
	self     owner.Entry
	store    *platform.Store
	forward  *forward.Forwarder
	relay    *relay.Relay
	control  *control
	suspects *call.Suspects
	refused  *refusals
	leaving  atomic.Bool
	run      atomic.Pointer[member.ID] // this process, as the others know it
	recorded atomic.Bool               // this entry has a record in the store
	restores atomic.Uint64             // of the store from a copy, since the start
	started  time.Time
	known    chan struct{} // closed once a configuration and targets are known
	ending   chan struct{} // closed when a stop gives up what is still under way
	bounds   atomic.Pointer[platform.Bounds]
	view     atomic.Pointer[view]

	freshness *freshness

	instruments instruments

	front, ready, directory, scrapes net.Listener
}

// Limits of connections to targets. The figures are said beside each.
const (
	// targetSilence is the time after which unacknowledged bytes show that a
	// connection has gone silent: several times the round trip and the first
	// retransmission of a lost packet, and less than the shortest deadline.
	targetSilence = 500 * time.Millisecond
	// targetConnect is how long a connection may take: a hundred round trips.
	// What was not sent for lack of one goes to another target.
	targetConnect = 250 * time.Millisecond
	// targetIdle is below the 10 s after which targets close idle connections,
	// so that a request seldom meets a connection that is just being closed.
	targetIdle = 8 * time.Second
	// wholeAnswer bounds an answer that is read before any of it is passed on.
	wholeAnswer = 1 << 20
)

// New opens the listeners, so that a taken address is told before anything
// starts.
func New(cfg Config) (g *Gateway, err error) {
	defer func() { err = errors.WithMessage(err, "gateway "+cfg.Settings.Name) }()
	s := cfg.Settings
	g = &Gateway{
		cfg: cfg, log: cfg.Log, started: time.Now(), known: make(chan struct{}), ending: make(chan struct{}),
		forward: forward.New(forward.Config{
			Echo: platform.HeaderRequest, Silence: targetSilence, Connect: targetConnect, Idle: targetIdle, Whole: wholeAnswer,
		}),
		suspects:    call.NewSuspects(call.SuspectsConfig{Crashes: crashLimit}),
		refused:     newRefusals(cfg.Log),
		instruments: newInstruments(cfg.Settings.Name),
		freshness:   newFreshness(),
	}
	if err := g.listen(); err != nil {
		return nil, err
	}
	g.view.Store(&view{})
	g.bounds.Store(&s.Bounds)
	g.store = platform.NewStore(platform.StoreConfig{
		Address: s.Store, Name: s.Name, HTTP: storeClient(),
		Refused: func(kind, name string, err error) { g.refused.note(time.Now(), kind, name, err) },
	})
	g.control = newControl(g)
	if g.relay, err = relay.New(relay.Config{
		Address: net.JoinHostPort(s.Address, strconv.Itoa(s.Ports[0])),
		Source:  g.control, Heard: g.control.heard, Log: g.log,
		Self: func() member.ID { return *g.run.Load() },
		Sent: func(bytes int) { g.instruments.sent.Inc(int64(bytes)) },
	}); err != nil {
		g.unlisten()
		return nil, err
	}
	g.self = owner.Entry{
		Name: s.Name, Boot: cfg.Boot, Front: g.front.Addr().String(), Peer: g.relay.Address(),
		Place: s.Place, Region: s.Region, Capacity: capacity(s),
	}
	g.control.members = member.New(g.memberConfig())
	g.control.named()
	return g, nil
}

// What an entry is fit for, by what it has.
const (
	// coreRate is how many requests a second a core serves with most of it to
	// spare for a burst: a request with its questions takes 0.6 ms of it. Each
	// further owner knows less of what the targets hold. Worth with owners by what
	// hosts really get, mean of five days: 0.747, 0.700 and 0.626 on three sites at
	// 800, and 0.752, 0.691 and 0.609 at 300.
	coreRate = 800
	// linkRate is how many requests a second a Mbit/s carries: up to 5 KB go
	// each way, twice.
	linkRate = 10
)

// capacity is how many requests a second an entry is fit for.
func capacity(s platform.Settings) float64 {
	c := s.Cores * coreRate
	if s.Link > 0 {
		c = min(c, s.Link*linkRate)
	}
	return c
}

// crashLimit is how many targets in a row a request may crash before it is sent
// to none any more.
const crashLimit = 3

func (g *Gateway) listen() (err error) {
	cfg := g.cfg
	s := cfg.Settings
	for _, l := range []struct {
		name string
		on   *net.Listener
		addr string
	}{
		{"front", &g.front, s.Front},
		{"ready", &g.ready, s.Ready},
		{"directory", &g.directory, s.Directory},
		{"metrics", &g.scrapes, net.JoinHostPort(s.Address, strconv.Itoa(cfg.Metrics))},
	} {
		if *l.on, err = net.Listen("tcp", l.addr); err != nil {
			g.unlisten()
			return errors.WithMessage(err, l.name)
		}
	}
	return nil
}

func (g *Gateway) unlisten() {
	for _, l := range []net.Listener{g.front, g.ready, g.directory, g.scrapes} {
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
	s.Add(&enroller{gateway: g})
	s.Add(newConfigReader(g))
	s.Add(newTargetReader(g))
	s.Add(newEvacuationReader(g))
	below := s.ServeBackground(traffic)
	front := g.frontServer()
	side := &http.Server{Handler: g.sideHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle}
	failed := make(chan error, 4)
	go func() { failed <- front.Serve(g.front) }()
	go func() { failed <- side.Serve(g.ready) }()
	go func() { failed <- side.Serve(g.directory) }()
	scrape := &http.Server{Handler: g.operatorHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: callerIdle}
	go func() { failed <- scrape.Serve(g.scrapes) }()
	defer g.instruments.Close()
	g.log.WithFields(log.Fields{
		"front": g.self.Front, "peer": g.self.Peer, "metrics": g.scrapes.Addr().String(), "capacity": g.self.Capacity,
	}).Info(logs.MessageStarted)
	select {
	case <-ctx.Done():
		g.leave(front)
	case err = <-failed:
		err = errors.WithMessage(err, "listener")
	case err = <-below:
		err = errors.WithMessage(err, "control")
	}
	g.log.WithField("cause", cause(err)).Info("gateway stopped")
	return err
}

// frontServer serves callers' requests.
func (g *Gateway) frontServer() *http.Server {
	idle := newIdlers()
	return &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTime, ReadTimeout: callerIdle, IdleTimeout: callerIdle,
		ConnContext: withConn, ConnState: func(c net.Conn, s http.ConnState) { idle.track(c, s, g.idleLimit()) },
	}
}

func cause(err error) string {
	if err == nil {
		return "asked to stop"
	}
	return err.Error()
}

// Times of callers' connections.
const (
	// headerTime bounds a request head.
	headerTime = 10 * time.Second
	// callerIdle bounds an idle connection and the reading of a request while no
	// configuration says less.
	callerIdle = 2 * time.Minute
)
