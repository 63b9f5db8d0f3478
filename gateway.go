package main

import (
	"bytes"
	"context"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/internal/gateway"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/platform"
)

func gatewayCommand() *command {
	level, port := "info", 0
	sub := flaggy.NewSubcommand("gateway")
	sub.Description = "serve callers on the users' platform until told to stop"
	sub.String(&level, "l", "level", "least severe log level: debug, info, warn, error")
	sub.Int(&port, "m", "metrics", "port on which metrics are scraped; 0 takes a free one")
	sub.AdditionalHelpAppend = "The settings file is named by " + platform.SettingsVariable + "."
	return &command{sub: sub, run: func(ctx context.Context) error {
		return runGateway(ctx, level, port)
	}}
}

// gatewayGC lets the heap double before a collection. A gateway's VM is small and
// its memory counts: against 400 percent it takes 18 in place of 42 MB, for a
// fifth more processor time (13 gateways, 110 requests a second).
const gatewayGC = 100

func runGateway(ctx context.Context, level string, port int) (err error) {
	least, err := log.ParseLevel(level)
	if err != nil {
		return exitError{exitUsage, err}
	}
	path := os.Getenv(platform.SettingsVariable)
	text, _ := os.ReadFile(path) // before they are read, so that no change is missed; a failure is told just below
	s, err := platform.ReadSettings(path)
	if err != nil {
		return exitError{exitInvalid, err}
	}
	debug.SetGCPercent(gatewayGC)
	lines := logs.New(os.Stdout)
	defer lines.Close()
	logger := &log.Logger{Handler: lines, Level: least}
	// net/http tells of unsolicited answers and broken connections by itself.
	stdlog.SetFlags(0)
	stdlog.SetOutput(lines.Writer("net/http"))
	g, err := gateway.New(gateway.Config{
		Settings: s, Boot: uint64(time.Now().UnixNano()), Metrics: port, Log: logger.WithField("entry", s.Name),
	})
	if err != nil {
		return err
	}
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	following, stop := context.WithCancel(ctx)
	defer stop()
	go followSettings(following, g, path, text, hups)
	return g.Serve(ctx)
}

// settingsPeriod is how often the settings file is looked at, which may change without a
// signal: well within the time in which a configuration has to be in force.
const settingsPeriod = time.Second

// followSettings has g read its settings at each signal, and when their file has changed
// without one. last is what the file held before it was first read.
func followSettings(ctx context.Context, g *gateway.Gateway, path string, last []byte, hups <-chan os.Signal) {
	look := time.NewTicker(settingsPeriod)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			last, _ = os.ReadFile(path) // a failure is told by the reload
		case <-look.C:
			now, _ := os.ReadFile(path)
			if bytes.Equal(now, last) {
				continue
			}
			last = now
		}
		g.Reload(platform.ReadSettings(path))
	}
}
