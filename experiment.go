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
	sub.Description = "measure a decision or a cost and print a table"
	subs := []*command{experimentHop(), experimentCapacity(), experimentOrder(), experimentPace()}
	for _, name := range lab.Names() {
		subs = append(subs, experimentTail(name))
	}
	return &command{sub: sub, subs: subs}
}

// experimentTail drives the decisions in virtual time.
func experimentTail(name string) *command {
	cfg := lab.Config{Name: name}
	sub := flaggy.NewSubcommand(name)
	sub.Description = "decisions of the pool against baselines, in virtual time"
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
	sub.Description = "what one entry adds to a call, against the same load direct"
	sub.Int(&cfg.Rounds, "", "rounds", "turns of direct and through")
	sub.Int(&cfg.Requests, "n", "requests", "requests in each half of a turn")
	sub.Float64(&cfg.Rate, "r", "rate", "requests a second")
	sub.Float64(&cfg.Writes, "w", "writes", "share of keyed non-idempotent requests, 0 to 1")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment hop --rounds 5 --rate 1000"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return hop.Run(ctx, cfg, os.Stdout)
	}}
}

// experimentPace drives the gateway's decisions in virtual time.
func experimentPace() *command {
	var cfg pace.Config
	sub := flaggy.NewSubcommand("pace")
	sub.Description = "ways to choose among targets whose pace changes all the time, in virtual time"
	sub.Int(&cfg.Seeds, "", "seeds", "runs of each row; default 5")
	sub.UInt64(&cfg.Seed, "", "seed", "the first seed; default 1")
	sub.Duration(&cfg.Length, "", "length", "of the arrivals; default 32s")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON lines")
	sub.String(&cfg.Plot, "", "plot", "path of an SVG to write")
	sub.String(&cfg.Shape, "", "shape", "of the service: standard, or booking with longer work at hundreds of targets")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment pace --seeds 5"
	return &command{sub: sub, run: func(context.Context) error {
		return pace.Run(cfg, os.Stdout)
	}}
}

func experimentCapacity() *command {
	var cfg capacity.Config
	sub := flaggy.NewSubcommand("capacity")
	sub.Description = "what control costs against the number of entries, workers and services"
	sub.String(&cfg.Only, "", "only", "name of the one part to run")
	sub.Int(&cfg.Seeds, "", "seeds", "runs of each size in virtual time; default 5")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment capacity"
	return &command{sub: sub, run: func(context.Context) error {
		return capacity.Run(cfg, os.Stdout)
	}}
}

func experimentOrder() *command {
	cfg := order.Config{Requests: 10000, Load: 0.7, Factor: 10, Seed: 1, Settings: swanbourne, Service: "gown-catalogue"}
	sub := flaggy.NewSubcommand("order")
	sub.Description = "the policies one after the other over loopback, with a straggler, as ratios"
	sub.Int(&cfg.Requests, "n", "requests", "requests of each policy")
	sub.Float64(&cfg.Load, "", "load", "share of what the targets can do")
	sub.Float64(&cfg.Factor, "", "factor", "how much slower one target is; 1 for none")
	sub.UInt64(&cfg.Seed, "", "seed", "seed of the arrivals")
	sub.Bool(&cfg.JSON, "j", "json", "print JSON")
	sub.AdditionalHelpAppend = "Example: plumpitch experiment order --factor 10"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return order.Run(ctx, cfg, os.Stdout)
	}}
}
