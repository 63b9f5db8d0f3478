package main

import (
	"bytes"
	"context"
	stdlog "log"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/internal/gateway"
	"plumpitch.example/plumpitch/internal/guard"
	"plumpitch.example/plumpitch/internal/hangup"
	"plumpitch.example/plumpitch/internal/logs"
	"plumpitch.example/plumpitch/platform"
)

func gatewayCommand() *command {
	level, port := "info", 0
	sub := flaggy.NewSubcommand(hangup.Command)
	sub.Description = "run a gateway on the users' platform until SIGINT or SIGTERM"
	sub.String(&level, "l", "level", "minimum log level: debug, info, warn, error")
	sub.Int(&port, "m", "metrics", "port that serves metrics; 0 selects a free port")
	sub.AdditionalHelpAppend = "The settings file is named by " + platform.SettingsVariable + "."
	return &command{sub: sub, run: func(ctx context.Context) error {
		return runGateway(ctx, level, port)
	}}
}

// gatewayGCPercent is the GC target of a gateway: the heap may double between
// collections. Gateways run on small VMs, where memory matters more than CPU time:
// compared with 400 percent, a gateway uses 18 MB instead of 42 MB and a fifth more
// CPU time (13 gateways, 110 requests per second).
const gatewayGCPercent = 100

func runGateway(ctx context.Context, level string, port int) (err error) {
	hangups := hangup.Notify()
	minLevel, err := log.ParseLevel(level)
	if err != nil {
		return exitError{exitUsage, err}
	}
	path := os.Getenv(platform.SettingsVariable)
	// The raw text is read before the settings are parsed, so that a change in between
	// is detected. ReadSettings reports a read error.
	text, _ := os.ReadFile(path)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return exitError{exitInvalid, err}
	}
	debug.SetGCPercent(gatewayGCPercent)
	guard.LimitHeap(s.Memory)
	handler := logs.New(os.Stdout)
	defer handler.Close()
	logger := &log.Logger{Handler: handler, Level: minLevel}
	// net/http logs unsolicited responses and broken connections to the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(handler.Writer("net/http"))
	g, err := gateway.New(gateway.Config{
		Settings: s, Boot: uint64(time.Now().UnixNano()), MetricsPort: port, Log: logger.WithField("entry", s.Name),
	})
	if err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go watchSettings(watchCtx, g, path, text, hangups)
	return g.Serve(ctx)
}

// settingsPollPeriod is the interval at which the settings file is checked for changes
// that come without a signal. It is well below the time within which a configuration
// must be in force.
const settingsPollPeriod = time.Second

// watchSettings makes g reload its settings at each signal and whenever the content of
// the settings file changes. last is the content at the time of the first read.
func watchSettings(ctx context.Context, g *gateway.Gateway, path string, last []byte, hangups <-chan os.Signal) {
	poll := time.NewTicker(settingsPollPeriod)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			last, _ = os.ReadFile(path) // the reload below reports a read error
		case <-poll.C:
			now, _ := os.ReadFile(path)
			if bytes.Equal(now, last) {
				continue
			}
			last = now
		}
		g.Reload(platform.ReadSettings(path))
	}
}
