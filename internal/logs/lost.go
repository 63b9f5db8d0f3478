package logs

import (
	"io"
	"slices"
	"strings"
	"time"
)

// Messages from which FindLost detects a lost gateway.
const (
	MessageStarted  = "gateway started"
	MessageStopping = "gateway stops"
	MessageLive     = "live entries changed"
)

// LostGateway is a gateway that disappeared from the live entries without logging a stop.
type LostGateway struct {
	Entry     string
	LastSeen  time.Time // time of its last line
	Noticed   time.Time // when the first other gateway logged that it was gone
	NoticedBy string    // name of that gateway
}

// FindLost returns the lost gateways in the order of time. Requests that were in flight
// at a lost gateway have no line about their end.
func FindLost(r io.Reader) (lost []LostGateway, err error) {
	lines, err := readLines(r)
	if err != nil {
		return nil, err
	}
	last, running := make(map[string]time.Time), make(map[string]bool)
	for _, l := range lines {
		switch l.Message {
		case MessageStarted:
			running[l.Entry] = true
		case MessageStopping:
			running[l.Entry] = false
		case MessageLive:
			for _, name := range departed(l) {
				if !running[name] {
					continue
				}
				running[name] = false
				lost = append(lost, LostGateway{Entry: name, LastSeen: last[name], Noticed: l.Time, NoticedBy: l.Entry})
			}
		}
		last[l.Entry] = l.Time
	}
	return lost, nil
}

// departed returns the entries that the line reports as no longer live.
func departed(l Line) (names []string) {
	came := entryNames(l.Fields["came"])
	for _, name := range entryNames(l.Fields["went"]) {
		if !slices.Contains(came, name) {
			names = append(names, name)
		}
	}
	return names
}

func entryNames(field any) (names []string) {
	text, _ := field.(string)
	for _, name := range strings.Fields(text) {
		name, _, _ = strings.Cut(name, "(")
		names = append(names, name)
	}
	return names
}
