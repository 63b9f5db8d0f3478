package main

import (
	"context"

	"github.com/integrii/flaggy"
)

func readyCommand() *command {
	var addr string
	sub := flaggy.NewSubcommand("ready")
	sub.Description = "check that an entry has settings and targets and is not leaving"
	sub.String(&addr, "e", "entry", "host:port of an entry's operators' listener")
	sub.AdditionalHelpAppend = "Example: plumpitch ready --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return printResponse(ctx, addr, "/readyz")
	}}
}

func metricsCommand() *command {
	var addr string
	sub := flaggy.NewSubcommand("metrics")
	sub.Description = "print an entry's metrics in the Prometheus text format"
	sub.String(&addr, "e", "entry", "host:port of an entry's operators' listener")
	sub.AdditionalHelpAppend = "Example: plumpitch metrics --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return printResponse(ctx, addr, "/metrics")
	}}
}
