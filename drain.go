package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"
)

func drainCommand() *command {
	return targetActionCommand("drain", "send a target no new requests; requests in flight finish")
}

func undrainCommand() *command {
	return targetActionCommand("undrain", "end a drain")
}

func evacuateCommand() *command {
	return placeActionCommand("evacuate", "send the targets of a place no new requests; requests in flight finish")
}

func restoreCommand() *command {
	return placeActionCommand("restore", "end an evacuation")
}

func targetActionCommand(name, description string) *command {
	return actionCommand(name, description, "TARGET", "id of a VM in the platform's VM list", "gown-1")
}

func placeActionCommand(name, description string) *command {
	return actionCommand(name, description, "PLACE", "name of a failure domain in the platform's VM list", "fremantle-hall")
}

// actionCommand returns a command that requests an action on a target or place from an
// entry.
func actionCommand(name, description, placeholder, help, example string) *command {
	var addr, object string
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AddPositionalValue(&object, placeholder, 1, true, help)
	sub.String(&addr, "e", "entry", "host:port of an entry's operators' listener")
	sub.AdditionalHelpAppend = "Example: plumpitch " + name + " " + example + " --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		body, err := requestEntry(ctx, http.MethodPost, addr, "/v1/"+name+"?name="+url.QueryEscape(object))
		if err != nil {
			return err
		}
		fmt.Print(string(body))
		return nil
	}}
}
