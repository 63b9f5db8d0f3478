package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/gateway"
	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/platform"
)

// Gateways is a running site with fakes of the users' platform.
type Gateways struct {
	Store    *objects.Store
	Gateways []*gateway.Gateway
	Targets  []*worker.Worker
	Address  string // host:port of the store

	stop         context.CancelFunc
	gatewaysDone sync.WaitGroup
	server       *http.Server
}

// Host is the host name of the site's routes.
const Host = "studio.example"

// Prefix returns the path prefix of a service's route.
func Prefix(service string) string { return "/" + service + "/" }

// The site's configuration and bounds.
const (
	siteTimeout     = "2s"
	siteObjective   = "200ms"
	siteGrace       = 3 * time.Second
	siteMaxAttempts = 2

	siteEvacuateBound = 5 * time.Second
	siteWarmFactor    = 1.5
	siteWarmSlack     = 8
)

// StartGateways starts the fakes, stores a configuration with a route for each
// service, and starts the gateways.
func StartGateways(cfg Config) (s *Gateways, err error) {
	defer func() { err = errors.WithMessage(err, "site of gateways") }()
	ctx, cancel := context.WithCancel(context.Background())
	s = &Gateways{Store: objects.New(), stop: cancel}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.Address = l.Addr().String()
	s.server = &http.Server{Handler: s.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	if err := s.startTargets(cfg); err != nil {
		s.Close()
		return nil, err
	}
	s.configure(cfg)
	for i := range cfg.Entries {
		if err := s.startGateway(ctx, cfg, i, l.Addr().String()); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Gateways) startTargets(cfg Config) error {
	for _, sv := range cfg.Services {
		for i := range sv.Targets {
			t, err := worker.Start(fmt.Sprintf("%s-%d", sv.Name, i+1))
			if err != nil {
				return err
			}
			t.SetServiceTime(sv.Mean)
			s.Targets = append(s.Targets, t)
			s.Store.PutTarget(objects.Target{
				ID: t.ID, Address: t.Address(), Service: sv.Name, Place: cfg.Places[i%len(cfg.Places)], Slots: sv.Slots,
			})
		}
	}
	return nil
}

func (s *Gateways) configure(cfg Config) {
	var routes []objects.Route
	var services []string
	for _, sv := range cfg.Services {
		services = append(services, sv.Name)
		routes = append(routes, objects.Route{
			Name: "r-" + sv.Name, Host: Host, Prefix: Prefix(sv.Name), Timeout: siteTimeout, TargetLatency: siteObjective,
			Attempts: siteMaxAttempts, Service: sv.Name,
		})
	}
	s.Store.PutConfig(1, routes, services)
}

func (s *Gateways) startGateway(ctx context.Context, cfg Config, i int, store string) error {
	const anyPort = "127.0.0.1:0"
	g, err := gateway.New(gateway.Config{
		Settings: platform.Settings{
			Name: fmt.Sprintf("gateway-%d", i+1), Place: cfg.Places[i%len(cfg.Places)], Region: cfg.Region,
			CallerAddress: anyPort, ReadyAddress: anyPort, DirectoryAddress: anyPort, IP: "127.0.0.1", StoreAddress: store, Cores: 1,
			Bounds: platform.Bounds{
				Grace: siteGrace, MaxTTL: time.Second, RetryShare: 0.2, RetrySlack: 50,
				Evacuate: siteEvacuateBound, WarmupFactor: siteWarmFactor, WarmupSlack: siteWarmSlack,
			},
		},
		Boot: uint64(time.Now().UnixNano()), Log: cfg.Log,
	})
	if err != nil {
		return err
	}
	s.Gateways = append(s.Gateways, g)
	s.gatewaysDone.Add(1)
	go func() {
		defer s.gatewaysDone.Done()
		if err := g.Serve(ctx); err != nil {
			cfg.Log.WithError(err).Error("gateway ended")
		}
	}()
	return nil
}

// Ready waits until all gateways are ready, which requires the configuration and targets.
func (s *Gateways) Ready(ctx context.Context) error {
	for _, g := range s.Gateways {
		for !g.Ready() {
			select {
			case <-ctx.Done():
				return errors.WithMessage(ctx.Err(), "gateways not ready")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// Close stops the gateways gracefully, then the fakes.
func (s *Gateways) Close() {
	s.stop()
	s.gatewaysDone.Wait()
	for _, t := range s.Targets {
		t.Close()
	}
	s.server.Close()
}
