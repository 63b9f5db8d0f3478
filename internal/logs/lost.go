package logs

import (
	"io"
	"slices"
	"strings"
	"time"
)

// Messages of gateways by which a loss is recognised.
const (
	MessageStarted = "gateway started"
	MessageStops   = "gateway stops"
	MessageLive    = "live entries changed"
)

// Loss is a gateway that others missed though nobody had told it to stop.
type Loss struct {
	Entry   string
	Last    time.Time // of its last line
	Noticed time.Time // by the first that missed it
	By      string
}

// Lost finds the gateways that were lost, in the order of time. A request that
// one of them had leaves no line of its end.
func Lost(r io.Reader) (losses []Loss, err error) {
	lines, err := read(r)
	if err != nil {
		return nil, err
	}
	last, running := make(map[string]time.Time), make(map[string]bool)
	for _, l := range lines {
		switch l.Message {
		case MessageStarted:
			running[l.Entry] = true
		case MessageStops:
			running[l.Entry] = false
		case MessageLive:
			for _, name := range missed(l) {
				if !running[name] {
					continue
				}
				running[name] = false
				losses = append(losses, Loss{Entry: name, Last: last[name], Noticed: l.Time, By: l.Entry})
			}
		}
		last[l.Entry] = l.Time
	}
	return losses, nil
}

// missed are the entries that are no longer live.
func missed(l Line) (names []string) {
	came := liveNames(l.Fields["came"])
	for _, name := range liveNames(l.Fields["went"]) {
		if !slices.Contains(came, name) {
			names = append(names, name)
		}
	}
	return names
}

func liveNames(field any) (names []string) {
	text, _ := field.(string)
	for _, name := range strings.Fields(text) {
		name, _, _ = strings.Cut(name, "(")
		names = append(names, name)
	}
	return names
}
