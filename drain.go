package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"
)

func drainCommand() *command {
	return drainOrder("drain", "give a target no new work; what it runs finishes")
}

func undrainCommand() *command {
	return drainOrder("undrain", "take back a drain")
}

func drainOrder(name, description string) *command {
	var at, target string
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AddPositionalValue(&target, "TARGET", 1, true, "id of a VM of the platform's list")
	sub.String(&at, "e", "entry", "host:port of an entry's operators' listener")
	sub.AdditionalHelpAppend = "Example: plumpitch " + name + " gown-1 --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		body, err := ask(ctx, http.MethodPost, at, "/v1/"+name+"?name="+url.QueryEscape(target))
		if err != nil {
			return err
		}
		fmt.Print(string(body))
		return nil
	}}
}
