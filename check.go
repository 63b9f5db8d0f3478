package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/tree"
	"plumpitch.example/plumpitch/platform"
)

func checkCommand() *command {
	var file string
	var asJSON bool
	as := kindSettings
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check a file without connecting to an entry"
	sub.AddPositionalValue(&file, "FILE", 1, true, "file to check")
	sub.String(&as, "", "as", "kind of file: settings (settings tree of the entries, JSON with comments), boot (a gateway's settings file) or config (a configuration of the users' platform)")
	sub.Bool(&asJSON, "j", "json", "print JSON; for settings only")
	sub.AdditionalHelpAppend = "Examples: plumpitch check examples/swanbourne.json\n" +
		"          plumpitch check /etc/plumpitch/boot.yaml --as boot"
	return &command{sub: sub, run: func(context.Context) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if as != kindSettings {
			return checkPlatform(os.Stdout, as, file, text)
		}
		d, err := tree.Parse(file, text)
		if asJSON {
			if err := printJSON(newCheckView(d, err)); err != nil {
				return err
			}
		}
		if err != nil {
			return exitError{exitInvalid, err}
		}
		if !asJSON {
			fmt.Printf("%s: %d services, %d places, no fault\n", file, len(d.Services()), len(d.Places()))
		}
		return nil
	}}
}

// Kinds of files that the check command accepts.
const (
	kindSettings = "settings"
	kindBoot     = "boot"
	kindConfig   = "config"
)

// checkPlatform checks a file that a gateway reads: its settings file or a configuration
// of the users' platform.
func checkPlatform(out io.Writer, as, file string, text []byte) (err error) {
	defer func() {
		if err != nil {
			err = exitError{exitInvalid, errors.WithMessage(err, file)}
		}
	}()
	switch as {
	case kindBoot:
		s, err := platform.ParseSettings(text)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: gateway %s in %s, store %s, no fault\n", file, s.Name, s.Place, s.StoreAddress)
	case kindConfig:
		c, faults, err := platform.ParseConfig(text)
		if err != nil {
			return err
		}
		if len(faults) > 0 {
			return faults
		}
		fmt.Fprintf(out, "%s: version %d, %d routes, %d services, no fault\n", file, c.Version, len(c.Routes), len(c.Services))
	default:
		return errors.Errorf("--as: found %q, expected %s, %s or %s", as, kindSettings, kindBoot, kindConfig)
	}
	return nil
}

type checkView struct {
	Services int           `json:"services"`
	Places   int           `json:"places"`
	Problems []problemView `json:"problems"`
}

type problemView struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Path     string `json:"path"`
	Field    string `json:"field"`
	Found    string `json:"found"`
	Expected string `json:"expected"`
	Hint     string `json:"hint"`
}

func newCheckView(d tree.Document, err error) checkView {
	v := checkView{Services: len(d.Services()), Places: len(d.Places()), Problems: []problemView{}}
	problems, _ := tree.AsProblems(err)
	for _, p := range problems {
		v.Problems = append(v.Problems, problemView(p))
	}
	return v
}
