package main

import (
	"context"
	"net/url"

	"github.com/integrii/flaggy"
)

func locateCommand() *command {
	var addr, service string
	sub := flaggy.NewSubcommand("locate")
	sub.Description = "query an entry for the entries that serve a service"
	sub.AddPositionalValue(&service, "SERVICE", 1, true, "name of the service")
	sub.String(&addr, "e", "entry", "host:port of an entry's callers' listener")
	sub.AdditionalHelpAppend = "Example: plumpitch locate gown-catalogue --entry 127.0.0.1:8001"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return printResponse(ctx, addr, "/v1/locate?service="+url.QueryEscape(service))
	}}
}
