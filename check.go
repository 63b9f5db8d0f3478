package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"plumpitch.example/plumpitch/pkg/tree"
)

func checkCommand() *command {
	var file string
	var asJSON bool
	sub := flaggy.NewSubcommand("check")
	sub.Description = "check a settings file without an entry"
	sub.AddPositionalValue(&file, "FILE", 1, true, "settings file, JSON with comments")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	sub.AdditionalHelpAppend = "Example: plumpitch check examples/swanbourne.json"
	return &command{sub: sub, run: func(context.Context) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
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
