package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/internal/lab/hop"
)

func experimentCommand() *command {
	sub := flaggy.NewSubcommand("experiment")
	sub.Description = "measure a decision or a cost and print a table"
	return &command{sub: sub, subs: []*command{experimentHop()}}
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
