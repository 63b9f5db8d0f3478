package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/reply"
	"plumpitch.example/plumpitch/internal/site"
	"plumpitch.example/plumpitch/internal/standin/platform"
	"plumpitch.example/plumpitch/internal/standin/target"
)

func standinCommand() *command {
	sub := flaggy.NewSubcommand("standin")
	sub.Description = "run a small stand-in of an external system, for tests"
	return &command{sub: sub, subs: []*command{standinStore(), standinTarget()}}
}

func standinStore() *command {
	addr := "127.0.0.1:0"
	var file string
	sub := flaggy.NewSubcommand("store")
	sub.Description = "stand-in of the platform: object store and VM list"
	sub.String(&addr, "l", "listen", "host:port to listen on")
	sub.String(&file, "", "settings", "settings file to load at the start")
	sub.AdditionalHelpAppend = "Example: plumpitch standin store --listen 127.0.0.1:7400"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return serveUntilDone(ctx, addr, platform.New(platform.Config{}), func(addr string) error {
			if file == "" {
				return nil
			}
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			return site.Apply(ctx, addr, file, text)
		})
	}}
}

func standinTarget() *command {
	addr := "127.0.0.1:0"
	var platformURL, place string
	cfg := target.Config{Name: "target", Service: "service", Slots: 2, MeanServiceTime: 5 * time.Millisecond, Sigma: 1}
	sub := flaggy.NewSubcommand("target")
	sub.Description = "stand-in of a target: a worker with slots, a log and faults"
	sub.String(&addr, "l", "listen", "host:port to listen on")
	sub.String(&cfg.Name, "n", "name", "name of the target")
	sub.String(&cfg.Service, "s", "service", "service of the target")
	sub.Int(&cfg.Slots, "", "slots", "number of requests served concurrently")
	sub.Duration(&cfg.MeanServiceTime, "", "mean", "mean service time")
	sub.Float64(&cfg.Sigma, "", "sigma", "sigma of the lognormal service time")
	sub.UInt64(&cfg.Seed, "", "seed", "random seed of the service times")
	sub.String(&platformURL, "p", "platform", "URL of the platform stand-in to register the target with")
	sub.String(&place, "", "place", "place of the target, for the VM list")
	sub.AdditionalHelpAppend = "Example: plumpitch standin target --service gown-catalogue --listen 127.0.0.1:7500"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return serveUntilDone(ctx, addr, target.New(cfg), func(addr string) error {
			if platformURL == "" {
				return nil
			}
			return registerTarget(ctx, platformURL, platform.VM{
				ID: cfg.Name, Addr: addr, Place: place, Service: cfg.Service,
				Slots: cfg.Slots, Boot: uint64(time.Now().UnixNano()), State: platform.Live,
			})
		})
	}}
}

// registerTarget adds a fake target to the VM list of a fake platform.
func registerTarget(ctx context.Context, platformURL string, vm platform.VM) (err error) {
	defer func() { err = errors.WithMessage(err, "VM list") }()
	body, err := json.Marshal(map[string]any{
		"addr": vm.Addr, "place": vm.Place, "service": vm.Service, "slots": vm.Slots, "boot": vm.Boot, "state": vm.State,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, platformURL+"/v1/admin/vms/"+vm.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := reply.Client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("found %s, expected 200", res.Status)
	}
	return nil
}

// serveUntilDone serves h on addr until ctx ends, and then lets requests in flight
// finish. Once it listens, it calls onListen with the listener's address, unless onListen
// is nil, and then prints the address as the first line of standard output.
func serveUntilDone(ctx context.Context, addr string, h http.Handler, onListen func(addr string) error) (err error) {
	defer func() { err = errors.WithMessage(err, "stand-in") }()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(l) }()
	if onListen != nil {
		if err := onListen(l.Addr().String()); err != nil {
			return err
		}
	}
	fmt.Fprintln(os.Stdout, l.Addr())
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		return srv.Close()
	}
	return nil
}
