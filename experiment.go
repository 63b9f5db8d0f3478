package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/internal/lab/capacity"
	"plumpitch.example/plumpitch/internal/lab/hop"
	"plumpitch.example/plumpitch/internal/lab/order"
	"plumpitch.example/plumpitch/internal/lab/pace"
	lab "plumpitch.example/plumpitch/internal/lab/tail"
)

func experimentCommand() *command {
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "run a simulation or a benchmark and print a table"
	subs := []*command{experimentHop(), experimentCapacity(), experimentOrder(), experimentPace()}
	for _, name := range lab.Names() {
		subs = append(subs, experimentTail(name))
	}
	return &command{sub: sub, subs: subs}
}

// experimentTail returns an experiment that simulates the balancer in virtual time.
func experimentTail(name string) *command {
	cfg := lab.Config{Name: name}
	sub := flaggy.NewSubcommand(name)
	sub.Description = "balancer of the pool against baseline policies, in virtual time"
	sub.Int(&cfg.Seeds, "", "seeds", "runs of each row; default 5")
	sub.UInt64(&cfg.Seed, "", "seed", "the first seed; default 1")
	sub.Int(&cfg.Requests, "n", "requests", "requests of each run; default 60000")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON lines")
	sub.String(&cfg.Plot, "", "plot", "path of an SVG to write")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment " + name + " --seeds 5"
	return &command{sub: sub, run: func(context.Context) error {
		return lab.Run(cfg, os.Stdout)
	}}
}

func experimentHop() *command {
	cfg := hop.Config{Rounds: 5, Requests: 2000, Rate: 1000, Entries: 3, Settings: swanbourne, Service: "gown-catalogue"}
	sub := flaggy.NewSubcommand("hop")
	sub.Description = "latency that one entry adds to a call, compared with the same load sent directly"
	sub.Int(&cfg.Rounds, "", "rounds", "rounds, each of direct calls and calls through the entry")
	sub.Int(&cfg.Requests, "n", "requests", "requests in each half of a round")
	sub.Float64(&cfg.Rate, "r", "rate", "requests a second")
	sub.Float64(&cfg.Writes, "w", "writes", "fraction of keyed non-idempotent requests, 0 to 1")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment hop --rounds 5 --rate 1000"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return hop.Run(ctx, cfg, os.Stdout)
	}}
}

// experimentPace returns an experiment that simulates the gateway's balancer in virtual
// time.
func experimentPace() *command {
	var cfg pace.Config
	sub := flaggy.NewSubcommand("pace")
	sub.Description = "ways to choose among targets whose pace changes continuously, in virtual time"
	sub.Int(&cfg.Seeds, "", "seeds", "runs of each row; default 5")
	sub.UInt64(&cfg.Seed, "", "seed", "the first seed; default 1")
	sub.Duration(&cfg.Length, "", "length", "time during which requests arrive; default 32s")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON lines")
	sub.String(&cfg.Plot, "", "plot", "path of an SVG to write")
	sub.String(&cfg.Shape, "", "shape", "shape of the service: standard, or booking with longer service times and hundreds of targets")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment pace --seeds 5"
	return &command{sub: sub, run: func(context.Context) error {
		return pace.Run(cfg, os.Stdout)
	}}
}

func experimentCapacity() *command {
	var cfg capacity.Config
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "cost of the control plane by number of entries, workers and services"
	sub.String(&cfg.Part, "", "only", "name of the only part to run")
	sub.Int(&cfg.Seeds, "", "seeds", "runs of each size in virtual time; default 5")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment capacity"
	return &command{sub: sub, run: func(context.Context) error {
		return capacity.Run(cfg, os.Stdout)
	}}
}

func experimentOrder() *command {
	cfg := order.Config{Requests: 10000, Load: 0.7, Factor: 10, Seed: 1, Settings: swanbourne, Service: "gown-catalogue"}
	sub := flaggy.NewSubcommand("order")
	sub.Description = "latency ratios of the policies over loopback, with one slow target"
	sub.Int(&cfg.Requests, "n", "requests", "requests of each policy")
	sub.Float64(&cfg.Load, "", "load", "load as a fraction of the targets' capacity")
	sub.Float64(&cfg.Factor, "", "factor", "slowdown of one target; 1 for none")
	sub.UInt64(&cfg.Seed, "", "seed", "random seed of the arrival times")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment order --factor 10"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return order.Run(ctx, cfg, os.Stdout)
	}}
}
