package logs

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Of three gateways one stops, one is killed and restarted, and one keeps running. Only
// the killed one is reported as lost, once, with the first gateway that noticed it.
func TestLost(t *testing.T) {
	line := func(at, entry, message, more string) string {
		return `{"timestamp":"2026-01-02T03:04:` + at + `Z","level":"info","message":"` + message + `","fields":{"entry":"` + entry + `"` + more + `}}`
	}
	live := func(at, entry, went, came string) string {
		return line(at, entry, MessageLive, `,"went":"`+went+`","came":"`+came+`"`)
	}
	text := strings.Join([]string{
		line("00", "a", MessageStarted, ""), line("00", "b", MessageStarted, ""), line("00", "c", MessageStarted, ""),
		line("01", "c", MessageStopping, ""), live("01.5", "a", "c", ""), live("01.7", "a", "b", "b(strained)"),
		line("02", "b", "answered by its target", ""), live("03", "a", "b(strained)", ""),
		line("04", "b", MessageStarted, ""), live("04.5", "a", "", "b"),
	}, "\n")
	losses, err := FindLost(strings.NewReader("collector: " + text))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, losses, qt.HasLen, 1)
	l := losses[0]
	qt.Assert(t, l.Entry+" "+l.NoticedBy+" "+l.LastSeen.Format("05")+" "+l.Noticed.Format("05"), qt.Equals, "b a 02 03")
}
