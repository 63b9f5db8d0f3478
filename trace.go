package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/logs"
)

func traceCommand() *command {
	var id, path string
	sub := flaggy.NewSubcommand("trace")
	sub.Description = "tell from collected logs what became of a request, and why"
	sub.AddPositionalValue(&id, "ID", 1, true, "id of the request")
	sub.AddPositionalValue(&path, "FILE", 2, false, "log of one or several gateways; standard input without it")
	sub.AdditionalHelpAppend = "Example: cat gateway-*.log | plumpitch trace 9c41d07be2a35f68"
	return &command{sub: sub, run: func(context.Context) error {
		return traceRequest(os.Stdout, id, path)
	}}
}

func traceRequest(out io.Writer, id, path string) (err error) {
	var in io.Reader = os.Stdin
	if path != "" {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	lines, err := logs.Find(in, id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return errors.Errorf("request %s: found no line; lines under load are a sample, see \"log lines omitted\"", id)
	}
	for _, l := range lines {
		var fields []string
		for _, name := range l.Names() {
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		mark := " "
		if l.Fields[logs.FieldRequest] == id {
			mark = ">"
		}
		fmt.Fprintf(out, "%s %s %s %s %s\n", mark, l.Time.Format("15:04:05.000"), l.Entry, l.Message, strings.Join(fields, " "))
	}
	return nil
}
