package main

import (
	"context"

	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/pkg/tree"
)

func placeCommand() *command {
	sub := flaggy.NewSubcommand("place")
	sub.Description = "create, list and remove places"
	sub.AdditionalHelpAppend = "Example: plumpitch place list --entry 127.0.0.1:8003"
	const example = "/swanbourne/perth-metro/fremantle-hall"
	return &command{sub: sub, subs: []*command{
		createNode(tree.PlaceKind, example), placeList(), removeNode(tree.PlaceKind, example),
	}}
}

type placeView struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Path   string `json:"path"`
}

func placeList() *command {
	var f readFlags
	sub := flaggy.NewSubcommand("list")
	sub.Description = "list places with their regions"
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch place list --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		d, err := c.Document(ctx)
		if err != nil {
			return withExitCode(err)
		}
		views := []placeView{}
		for _, p := range d.Places() {
			views = append(views, placeView{p.Name, p.Region, p.Path})
		}
		if f.asJSON {
			return printJSON(views)
		}
		t := newTable("PLACE", "REGION", "PATH")
		for _, v := range views {
			t.Append([]string{v.Name, v.Region, v.Path})
		}
		t.Render()
		return nil
	}}
}
