package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"
)

func drainCommand() *command {
	return targetOrder("drain", "give a target no new work; what it runs finishes")
}

func undrainCommand() *command {
	return targetOrder("undrain", "take back a drain")
}

func evacuateCommand() *command {
	return placeOrder("evacuate", "give the targets of a place no new work; what they run finishes")
}

func restoreCommand() *command {
	return placeOrder("restore", "take back an evacuation")
}

func targetOrder(name, description string) *command {
	return operate(name, description, "TARGET", "id of a VM of the platform's list", "gown-1")
}

func placeOrder(name, description string) *command {
	return operate(name, description, "PLACE", "a failure domain, as the platform's list names it", "fremantle-hall")
}

// operate is a command that has an entry do something with what it names.
func operate(name, description, what, help, example string) *command {
	var at, on string
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AddPositionalValue(&on, what, 1, true, help)
	sub.String(&at, "e", "entry", "host:port of an entry's operators' listener")
	sub.AdditionalHelpAppend = "Example: plumpitch " + name + " " + example + " --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		body, err := ask(ctx, http.MethodPost, at, "/v1/"+name+"?name="+url.QueryEscape(on))
		if err != nil {
			return err
		}
		fmt.Print(string(body))
		return nil
	}}
}
