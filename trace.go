package main

import (
	"bytes"
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
	var id string
	sub := flaggy.NewSubcommand("trace")
	sub.Description = "show from collected logs how a request ended, and why"
	sub.AddPositionalValue(&id, "ID", 1, true, "id of the request")
	files := addLogFileArgs(sub, 2)
	sub.AdditionalHelpAppend = "Example: cat gateway-*.log | plumpitch trace 9c41d07be2a35f68"
	return &command{sub: sub, run: func(context.Context) error {
		return traceRequest(os.Stdout, id, files())
	}}
}

// maxLogFiles is the maximum number of log files on one command line.
const maxLogFiles = 64

// addLogFileArgs adds optional positional arguments for log files, starting at position
// from. The returned function returns the paths that were given.
func addLogFileArgs(sub *flaggy.Subcommand, from int) (given func() []string) {
	values := make([]string, maxLogFiles)
	for i := range values {
		sub.AddPositionalValue(&values[i], fmt.Sprintf("FILE%d", i+1), from+i, false, "log of one or several gateways; standard input if none is given")
		sub.PositionalFlags[len(sub.PositionalFlags)-1].Hidden = i > 0
	}
	return func() (list []string) {
		for _, v := range values {
			if v != "" {
				list = append(list, v)
			}
		}
		return list
	}
}

// openLogs returns a reader of the concatenated logs, or of standard input if paths is
// empty. closeAll closes the files.
func openLogs(paths []string) (in io.Reader, closeAll func(), err error) {
	var readers []io.Reader
	var open []*os.File
	closeAll = func() {
		for _, f := range open {
			f.Close()
		}
	}
	if len(paths) == 0 {
		return os.Stdin, closeAll, nil
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		open = append(open, f)
		readers = append(readers, f, strings.NewReader("\n"))
	}
	return io.MultiReader(readers...), closeAll, nil
}

func traceRequest(out io.Writer, id string, paths []string) (err error) {
	in, closeAll, err := openLogs(paths)
	if err != nil {
		return err
	}
	defer closeAll()
	text, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	lines, err := logs.Find(bytes.NewReader(text), id)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return reportLostGateways(out, id, text)
	}
	for _, l := range lines {
		var fields []string
		for _, name := range l.FieldNames() {
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		marker := " "
		if l.Fields[logs.FieldRequest] == id {
			marker = ">"
		}
		fmt.Fprintf(out, "%s %s %s %s %s\n", marker, l.Time.Format("15:04:05.000"), l.Entry, l.Message, strings.Join(fields, " "))
	}
	return nil
}

// reportLostGateways prints the gateways that were lost without a stop. It is called for
// a request without log lines: a gateway that is killed writes no line about the
// requests in flight.
func reportLostGateways(out io.Writer, id string, text []byte) (err error) {
	lost, err := logs.FindLost(bytes.NewReader(text))
	if err != nil {
		return err
	}
	for _, l := range lost {
		fmt.Fprintf(out, "! %s %s was lost without a stop; its last line is of %s, %s missed it first\n",
			l.Noticed.Format("15:04:05.000"), l.Entry, l.LastSeen.Format("15:04:05.000"), l.NoticedBy)
	}
	if len(lost) > 0 {
		return errors.Errorf("request %s: found no line; a request that a lost gateway had leaves none", id)
	}
	return errors.Errorf("request %s: found no line; lines under load are a sample, see \"log lines omitted\"", id)
}
