package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

func versionCommand() *command {
	sub := flaggy.NewSubcommand("version")
	sub.Description = "print the version"
	sub.AdditionalHelpAppend = "Example: plumpitch version"
	return &command{sub: sub, run: func(context.Context) error {
		fmt.Println("plumpitch", version())
		return nil
	}}
}
