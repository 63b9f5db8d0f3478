package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
)

func serviceCommand() *command {
	sub := flaggy.NewSubcommand("service")
	sub.Description = "create, list and remove services"
	sub.AdditionalHelpAppend = "Example: plumpitch service list --entry 127.0.0.1:8003"
	const example = "/swanbourne/gown-catalogue"
	return &command{sub: sub, subs: []*command{
		createNode(tree.ServiceKind, example), serviceList(), removeNode(tree.ServiceKind, example),
	}}
}

// createNode returns the create command of services or places.
func createNode(k tree.Kind, example string) *command {
	f := newEditFlags()
	var path string
	var values []string
	sub := flaggy.NewSubcommand("create")
	sub.Description = fmt.Sprintf("create a %s below an existing group", k)
	sub.AddPositionalValue(&path, "PATH", 1, true, "path of the new "+string(k))
	if k == tree.ServiceKind {
		sub.StringSlice(&values, "s", "set", "SETTING=VALUE to override; may be repeated")
	}
	f.attach(sub)
	sub.AdditionalHelpAppend = fmt.Sprintf("Example: plumpitch %s create %s --entry 127.0.0.1:8003", k, example)
	return &command{sub: sub, run: func(ctx context.Context) error {
		changes, err := overrides(path, values)
		if err != nil {
			return err
		}
		create := tree.Change{Op: tree.Create, Path: path, Kind: k}
		return f.edit(ctx, append([]tree.Change{create}, changes...)...)
	}}
}

func overrides(path string, values []string) (changes []tree.Change, err error) {
	for _, v := range values {
		field, value, ok := strings.Cut(v, "=")
		if !ok {
			return nil, exitError{exitUsage, errors.Errorf("--set: found %q, expected SETTING=VALUE", v)}
		}
		changes = append(changes, tree.Change{Op: tree.Set, Path: path, Field: field, Value: value})
	}
	return changes, nil
}

// removeNode returns the remove command of services or places.
func removeNode(k tree.Kind, example string) *command {
	f := newEditFlags()
	var name string
	sub := flaggy.NewSubcommand("remove")
	sub.Description = fmt.Sprintf("remove a %s", k)
	sub.AddPositionalValue(&name, "NAME", 1, true, "name or path of the "+string(k))
	f.attach(sub)
	sub.AdditionalHelpAppend = fmt.Sprintf("Example: plumpitch %s remove %s --entry 127.0.0.1:8003", k, tree.Name(example))
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		d, err := c.Document(ctx)
		if err != nil {
			return withExitCode(err)
		}
		path, err := findNode(d, k, name)
		if err != nil {
			return err
		}
		return f.edit(ctx, tree.Change{Op: tree.Remove, Path: path})
	}}
}

// findNode returns the path of a node, given its path or name.
func findNode(d tree.Document, k tree.Kind, name string) (string, error) {
	var known []string
	for path, n := range d.Nodes {
		if n.Kind != k {
			continue
		}
		if path == name || tree.Name(path) == name {
			return path, nil
		}
		known = append(known, tree.Name(path))
	}
	hint := ""
	if s := closestName(name, known); s != "" {
		hint = fmt.Sprintf("; did you mean %s?", s)
	}
	return "", errors.Errorf("found %q, expected the name of a %s%s", name, k, hint)
}

type serviceView struct {
	Name    string   `json:"name"`
	Path    string   `json:"path"`
	Places  []string `json:"places"`
	Policy  string   `json:"policy"`
	Entries int      `json:"entries"`
	Slots   int      `json:"slots"`
	Timeout string   `json:"timeout"`
}

func serviceList() *command {
	var f readFlags
	sub := flaggy.NewSubcommand("list")
	sub.Description = "list services with their main settings"
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch service list --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		d, err := c.Document(ctx)
		if err != nil {
			return withExitCode(err)
		}
		views := serviceViews(d)
		if f.asJSON {
			return printJSON(views)
		}
		t := newTable("SERVICE", "PLACES", "POLICY", "ENTRIES", "SLOTS", "TIMEOUT", "PATH")
		for _, v := range views {
			t.Append([]string{
				v.Name, strings.Join(v.Places, ","), v.Policy, fmt.Sprint(v.Entries), fmt.Sprint(v.Slots), v.Timeout, v.Path,
			})
		}
		t.Render()
		return nil
	}}
}

func serviceViews(d tree.Document) []serviceView {
	views := []serviceView{}
	for _, s := range d.Services() {
		v := serviceView{
			Name: s.Name, Path: s.Path, Places: s.Policy.Places, Policy: s.Policy.Policy,
			Entries: s.Policy.Entries, Slots: s.Policy.Slots, Timeout: s.Policy.Timeout.String(),
		}
		if len(v.Places) == 0 {
			v.Places = []string{"every"}
		}
		views = append(views, v)
	}
	return views
}
