// Command plumpitch is a load balancer for services whose load shifts within
// milliseconds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// Exit codes of every command.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
)

// command is one subcommand: its flags, its own subcommands and its action.
type command struct {
	sub  *flaggy.Subcommand
	subs []*command
	// run is nil for a command that only groups subcommands.
	run func(ctx context.Context) error
}

// exitError is an error that sets the program's exit code.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// commands lists the subcommands in the order in which help shows them.
func commands() []*command {
	return []*command{
		entryCommand(),
		gatewayCommand(),
		devCommand(),
		locateCommand(),
		settingsCommand(),
		serviceCommand(),
		placeCommand(),
		checkCommand(),
		statusCommand(),
		drainCommand(),
		undrainCommand(),
		evacuateCommand(),
		restoreCommand(),
		explainCommand(),
		traceCommand(),
		readyCommand(),
		metricsCommand(),
		loadCommand(),
		experimentCommand(),
		standinCommand(),
		versionCommand(),
	}
}

func main() {
	tuneGC()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "plumpitch:", err)
	var coded exitError
	if errors.As(err, &coded) {
		os.Exit(coded.code)
	}
	os.Exit(exitFailed)
}

func run(ctx context.Context, args []string) (err error) {
	all := commands()
	if err := checkCommandNames(all, args); err != nil {
		return exitError{exitUsage, err}
	}
	p := flaggy.NewParser("plumpitch")
	p.Description = "load balancer for services whose load shifts within milliseconds"
	p.AdditionalHelpAppend = "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflicting edit, 4 invalid settings."
	p.Version = version()
	p.DisableShowVersionWithVersion()
	for _, c := range all {
		p.AttachSubcommand(c.attach(), 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return exitError{exitUsage, err}
	}
	c := selectedCommand(all)
	if c == nil || c.run == nil {
		p.ShowHelp()
		return exitError{exitUsage, errors.New("no command given")}
	}
	return c.run(ctx)
}

// attach attaches the command's subcommands to it and returns its parser node.
func (c *command) attach() *flaggy.Subcommand {
	for _, s := range c.subs {
		c.sub.AttachSubcommand(s.attach(), 1)
	}
	return c.sub
}

// selectedCommand returns the innermost command that the arguments name, or nil.
func selectedCommand(all []*command) *command {
	for _, c := range all {
		if !c.sub.Used {
			continue
		}
		if inner := selectedCommand(c.subs); inner != nil {
			return inner
		}
		return c
	}
	return nil
}
