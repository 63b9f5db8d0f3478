package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/settings"
	"plumpitch.example/plumpitch/pkg/tree"
)

func settingsCommand() *command {
	sub := flaggy.NewSubcommand("settings")
	sub.Description = "show and edit the settings tree"
	sub.AdditionalHelpAppend = "Example: plumpitch settings get /swanbourne/deposit-ledger --entry 127.0.0.1:8003"
	return &command{sub: sub, subs: []*command{
		settingsGet(), settingsSet(), settingsUnset(), settingsApply(), settingsDiff(), settingsHistory(),
	}}
}

// readFlags are the flags that all commands of the settings tree share.
type readFlags struct {
	entryAddr string
	asJSON    bool
}

func (f *readFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.entryAddr, "e", "entry", "host:port of an entry's operators' listener")
	sub.Bool(&f.asJSON, "j", "json", "print JSON")
}

func (f *readFlags) client() (settings.Client, error) {
	if f.entryAddr == "" {
		return settings.Client{}, exitError{exitUsage, errors.New("--entry: found nothing, expected host:port")}
	}
	return settings.Client{Addr: f.entryAddr}, nil
}

// editFlags are the flags that the editing commands share.
type editFlags struct {
	readFlags
	id          string
	author      string
	base        int64
	wait        bool
	waitTimeout time.Duration
}

// noBase is the base value that lets the entry choose the base revision of an edit.
const noBase = -1

func newEditFlags() *editFlags {
	f := &editFlags{base: noBase, author: os.Getenv("USER"), waitTimeout: 30 * time.Second}
	if f.author == "" {
		f.author = "operator"
	}
	return f
}

func (f *editFlags) attach(sub *flaggy.Subcommand) {
	f.readFlags.attach(sub)
	sub.String(&f.id, "", "id", "id of the edit, to resend an edit whose outcome is unknown")
	sub.String(&f.author, "a", "author", "author of the edit, for the history")
	sub.Int64(&f.base, "b", "base", "revision that the edit is based on; a later edit of the same value is a conflict")
	sub.Bool(&f.wait, "w", "wait", "wait until the edit is in force at every live entry")
	sub.Duration(&f.waitTimeout, "", "within", "maximum time to wait")
}

func (f *editFlags) baseRevision() *uint64 {
	if f.base < 0 {
		return nil
	}
	base := uint64(f.base)
	return &base
}

func (f *editFlags) editID() string {
	if f.id == "" {
		f.id = uuid.NewString()
	}
	return f.id
}

// edit sends changes to the entry as one edit and prints the outcome.
func (f *editFlags) edit(ctx context.Context, changes ...tree.Change) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	e := tree.Edit{ID: f.editID(), Author: f.author, Changes: changes}
	a, err := c.Edit(ctx, e, f.baseRevision())
	return f.report(ctx, a, err)
}

// report prints the outcome of an edit. With --wait it first waits until the edit is in
// force.
func (f *editFlags) report(ctx context.Context, a settings.EditResult, err error) error {
	if err != nil {
		return withExitCode(errors.WithMessagef(err, "edit %s", f.id))
	}
	if f.wait {
		if err := awaitRevision(ctx, f.entryAddr, a.Revision, f.waitTimeout); err != nil {
			return err
		}
	}
	if f.asJSON {
		return printJSON(acceptedView{a.ID, a.Revision, changeTexts(a.Changes), f.wait})
	}
	for _, c := range a.Changes {
		fmt.Println(c)
	}
	if len(a.Changes) == 0 {
		fmt.Printf("nothing to change at revision %d\n", a.Revision)
		return nil
	}
	state := "accepted"
	if f.wait {
		state = "in force at every live entry"
	}
	fmt.Printf("revision %d %s\n", a.Revision, state)
	return nil
}

type acceptedView struct {
	ID       string   `json:"id"`
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
	InForce  bool     `json:"inforce"` // at every live entry; known only after --wait
}

func changeTexts(changes []tree.Change) []string {
	texts := []string{}
	for _, c := range changes {
		texts = append(texts, c.String())
	}
	return texts
}

// withExitCode sets the exit code of an error that an entry returned.
func withExitCode(err error) error {
	var r *settings.ResponseError
	if !errors.As(err, &r) {
		return err
	}
	switch r.Status {
	case http.StatusConflict:
		return exitError{exitConflict, err}
	case http.StatusUnprocessableEntity:
		return exitError{exitInvalid, err}
	}
	return err
}

func printJSON(v any) error {
	return json.NewEncoder(os.Stdout).Encode(v)
}

func settingsGet() *command {
	var f readFlags
	path := tree.Root
	sub := flaggy.NewSubcommand("get")
	sub.Description = "show the values in effect at a node and where each comes from"
	sub.AddPositionalValue(&path, "PATH", 1, false, "path of a node; default /")
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch settings get /swanbourne/deposit-ledger --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		n, err := c.Get(ctx, path)
		if err != nil {
			return withExitCode(err)
		}
		return f.printNode(n)
	}}
}

type nodeView struct {
	Revision uint64      `json:"revision"`
	Path     string      `json:"path"`
	Kind     string      `json:"kind"`
	Values   []valueView `json:"values"`
}

type valueView struct {
	Field string `json:"field"`
	Value string `json:"value"`
	From  string `json:"from"`
}

func (f *readFlags) printNode(n settings.Node) error {
	v := nodeView{Revision: n.Revision, Path: n.Path, Kind: string(n.Kind)}
	for _, o := range n.Values {
		from := o.Source
		if from == "" {
			from = "default"
		}
		v.Values = append(v.Values, valueView{o.Field, o.Value, from})
	}
	if f.asJSON {
		return printJSON(v)
	}
	fmt.Printf("%s %s, revision %d\n\n", v.Kind, v.Path, v.Revision)
	t := newTable("SETTING", "VALUE", "FROM")
	for _, o := range v.Values {
		t.Append([]string{o.Field, o.Value, o.From})
	}
	t.Render()
	return nil
}

func settingsSet() *command {
	f := newEditFlags()
	var path, field, value string
	sub := flaggy.NewSubcommand("set")
	sub.Description = "override a value at a node"
	sub.AddPositionalValue(&path, "PATH", 1, true, "path of a node")
	sub.AddPositionalValue(&field, "SETTING", 2, true, "name of a setting")
	sub.AddPositionalValue(&value, "VALUE", 3, true, "value with its unit; a list is written with commas")
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch settings set /swanbourne/deposit-ledger timeout 5s --wait --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return f.edit(ctx, tree.Change{Op: tree.Set, Path: path, Field: field, Value: value})
	}}
}

func settingsUnset() *command {
	f := newEditFlags()
	var path, field string
	sub := flaggy.NewSubcommand("unset")
	sub.Description = "remove an override, so that the value is inherited again"
	sub.AddPositionalValue(&path, "PATH", 1, true, "path of a node")
	sub.AddPositionalValue(&field, "SETTING", 2, true, "name of a setting")
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch settings unset /swanbourne/deposit-ledger timeout --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return f.edit(ctx, tree.Change{Op: tree.Unset, Path: path, Field: field})
	}}
}

func settingsHistory() *command {
	var f readFlags
	count := 20
	sub := flaggy.NewSubcommand("history")
	sub.Description = "show the most recent edits"
	sub.Int(&count, "n", "count", "number of edits")
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch settings history --count 5 --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		edits, err := c.History(ctx, count)
		if err != nil {
			return withExitCode(err)
		}
		return f.printHistory(edits)
	}}
}

type editView struct {
	Revision uint64    `json:"revision"`
	Time     time.Time `json:"time"`
	Author   string    `json:"author"`
	ID       string    `json:"id"`
	Base     uint64    `json:"base"`
	Changes  []string  `json:"changes"`
}

func (f *readFlags) printHistory(edits []tree.Edit) error {
	views := []editView{}
	for _, e := range edits {
		views = append(views, editView{e.Revision, e.Time, e.Author, e.ID, e.Base, changeTexts(e.Changes)})
	}
	if f.asJSON {
		return printJSON(views)
	}
	for _, v := range views {
		fmt.Printf("revision %d by %s at %s, base %d, id %s\n", v.Revision, v.Author, v.Time.Format(time.RFC3339), v.Base, v.ID)
		fmt.Println("  " + strings.Join(v.Changes, "\n  "))
	}
	return nil
}
