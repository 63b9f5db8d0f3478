package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/internal/entry"
)

func entryCommand() *command {
	var path string
	sub := flaggy.NewSubcommand("entry")
	sub.Description = "run an entry until SIGINT or SIGTERM"
	sub.AddPositionalValue(&path, "FILE", 1, true, "the VM's own settings, JSON with comments")
	sub.AdditionalHelpAppend = "Example: plumpitch entry examples/entry.json"
	return &command{sub: sub, run: func(ctx context.Context) error {
		return runEntry(ctx, path)
	}}
}

func runEntry(ctx context.Context, path string) (err error) {
	f, err := entry.ReadFile(path)
	if err != nil {
		return exitError{exitInvalid, err}
	}
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.MustParseLevel(f.Level)}
	e, err := entry.New(entry.Config{File: f, Boot: uint64(time.Now().UnixNano()), Log: logger, TraceOutput: os.Stdout})
	if err != nil {
		return err
	}
	a := e.Addresses()
	fmt.Println(a.Callers)
	fmt.Println(a.Operators)
	fmt.Println(a.Peers)
	return e.Serve(ctx)
}
