package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/settings"
)

func settingsApply() *command {
	f := newEditFlags()
	var file string
	sub := flaggy.NewSubcommand("apply")
	sub.Description = "replace the whole settings tree by a settings file, as one edit"
	sub.AddPositionalValue(&file, "FILE", 1, true, "settings file, JSON with comments")
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch settings apply examples/swanbourne.json --wait --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		a, err := c.Apply(ctx, settings.Proposal{
			ID: f.editID(), Author: f.author, Base: f.baseRevision(), File: file, Text: text,
		})
		return f.report(ctx, a, err)
	}}
}

func settingsDiff() *command {
	var f readFlags
	var file string
	sub := flaggy.NewSubcommand("diff")
	sub.Description = "show what a settings file would change"
	sub.AddPositionalValue(&file, "FILE", 1, true, "settings file, JSON with comments")
	f.attach(sub)
	sub.AdditionalHelpAppend = "Example: plumpitch settings diff examples/swanbourne.json --entry 127.0.0.1:8003"
	return &command{sub: sub, run: func(ctx context.Context) error {
		c, err := f.client()
		if err != nil {
			return err
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		a, err := c.Diff(ctx, settings.Proposal{File: file, Text: text})
		if err != nil {
			return withExitCode(err)
		}
		if f.asJSON {
			return printJSON(diffView{a.Revision, changeTexts(a.Changes)})
		}
		fmt.Printf("against revision %d: %d changes\n", a.Revision, len(a.Changes))
		for _, c := range a.Changes {
			fmt.Println(c)
		}
		return nil
	}}
}

type diffView struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
}

// revisionPollPeriod is the pause between two polls of the entries' revisions.
const revisionPollPeriod = 200 * time.Millisecond

// entryRevisionsView is the part of an entry's status that awaitRevision reads.
type entryRevisionsView struct {
	Entries []struct {
		Name     string `json:"name"`
		Settings uint64 `json:"settings"`
		Live     bool   `json:"live"`
	} `json:"entries"`
}

// awaitRevision waits until every live entry reports that a revision is in force.
func awaitRevision(ctx context.Context, addr string, revision uint64, within time.Duration) (err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		late, err := lateEntries(ctx, addr, revision)
		if err == nil && len(late) == 0 {
			return nil
		}
		showProgress(revision, late)
		select {
		case <-time.After(revisionPollPeriod):
		case <-ctx.Done():
			if err == nil {
				err = errors.Errorf("not in force after %s at %s", within, strings.Join(late, ", "))
			}
			return errors.WithMessagef(err, "revision %d was accepted", revision)
		}
	}
}

func lateEntries(ctx context.Context, addr string, revision uint64) (late []string, err error) {
	body, err := requestEntry(ctx, http.MethodGet, addr, "/v1/status")
	if err != nil {
		return nil, err
	}
	var v entryRevisionsView
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, errors.WithMessage(err, "status")
	}
	for _, e := range v.Entries {
		if e.Live && e.Settings < revision {
			late = append(late, e.Name)
		}
	}
	return late, nil
}

// showProgress reports on standard error which entries the command waits for. It prints
// nothing if standard error isn't a terminal.
func showProgress(revision uint64, late []string) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 || len(late) == 0 {
		return
	}
	fmt.Fprintf(os.Stderr, "revision %d: waiting for %s\n", revision, strings.Join(late, ", "))
}
