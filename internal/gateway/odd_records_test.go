package gateway

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/owner"
	"plumpitch.example/plumpitch/pkg/roster"
)

// nestedText returns lists within each other.
func nestedText(levels int) string {
	return strings.Repeat("[", levels) + strings.Repeat("]", levels)
}

// Guards against one nested record that keeps a gateway that starts from getting ready, and one that
// runs from taking further targets.
func TestGatewayBesideOddRecords(t *testing.T) {
	sound := `{"address":"127.0.0.1:1","born":1,"info":{"service":"veils","concurrency":2},"status":{"state":"ready"},"odd":%s}`
	named := func(name, spec string) func(uint64) string {
		return func(revision uint64) string {
			return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d},"spec":%s,"status":null}`, name, revision, spec)
		}
	}
	tests := []struct {
		name, kind string
		record     func(revision uint64) string
	}{
		{"nested record", "servers", named("i-00", nestedText(20_000))},
		{"nested field", "servers", named("i-00", fmt.Sprintf(sound, nestedText(9_999)))},
		{"nested object", "servers", func(uint64) string { return nestedText(20_000) }},
		{"nested evacuation", "evacuations", named("nowhere", nestedText(20_000))},
		{"nested entry", "entries", named("other", nestedText(20_000))},
		{"nested configuration", "config", named("other", nestedText(20_000))},
		{"nested suspects", "suspects", named("other", nestedText(20_000))},
		{"large number", "servers", named("i-00", strings.Replace(fmt.Sprintf(sound, "1"), `"born":1`, `"born":1e400`, 1))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 1})
			w.evacuate = 5 * time.Second
			w.store.SetPageSize(3)
			w.store.PutRaw(tt.kind, "i-00", tt.record)
			e := w.startEntry("a").waitReady()
			w.startTarget("gowns")
			w.waitFor("a target beside the odd record of the list", func() bool { return e.targetCount("gowns") == 2 })
			w.store.PutRaw(tt.kind, "i-000", tt.record)
			w.startTarget("gowns")
			w.waitFor("a target beside the odd record of the watch", func() bool { return e.targetCount("gowns") == 3 })
			w.configure(worldConfig{})
			e.waitReady()
			w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
			w.store.PutText("servers", "i-0", nestedText(20_000))
			w.waitFor("the end of the target whose record is overwritten", func() bool { return !e.hasTarget("i-0") })
			w.c.Assert(e.targetCount("gowns"), qt.Equals, 2)
		})
	}
}

// Guards against a configuration that can't be decoded and takes the one in force with it.
func TestNestedConfiguration(t *testing.T) {
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	at := w.store.PutText("config", "main", `{"version":"r9","routes":{"r-a":`+nestedText(20_000)+`}}`)
	w.waitFor("the read of the nested configuration", func() bool { return e.revisionOfConfig() >= at })
	w.c.Assert(e.call("GET", "/a/x", "").status, qt.Equals, http.StatusOK)
	w.version = 9
	w.configure(worldConfig{})
	e.waitReady()
}

// revisionOfConfig returns the position up to which the entry knows the configuration's history.
func (e *entry) revisionOfConfig() (position uint64) {
	return e.control.requestTurn(e.w.c.Context(), resourceConfig).revision.Position()
}

// Guards against targets and entries with addresses that nothing can listen on.
func TestGatewayBesideBadPorts(t *testing.T) {
	ports := []string{"99999", "65536", "0", "-1", "1e400", "http", ""}
	w := newWorld(t, worldConfig{targets: 1})
	write := func(round string) {
		for i, port := range ports {
			name := fmt.Sprint("bad-", round, i)
			w.store.PutTarget(objects.Target{ID: name, Address: "127.0.0.1:" + port, Service: "gowns", Place: "hall", Slots: 100})
			w.store.Put("entries", name, map[string]any{"front": "127.0.0.1:" + port, "peer": "127.0.0.1:1"})
		}
	}
	write("list")
	e := w.startEntry("a").waitReady()
	write("watch")
	w.startTarget("gowns")
	w.waitFor("the target after them", func() bool { return e.hasTarget("i-1") })
	w.c.Assert(e.targetCount("gowns"), qt.Equals, 2)
	for n := range 50 {
		w.c.Assert(e.call("GET", fmt.Sprint("/a/", n), "").status, qt.Equals, http.StatusOK)
	}
	w.c.Assert(e.view.Load().known, qt.Equals, 0)
}

// Guards against a start that waits for an entry whose boot number is far from any time.
func TestStartedTogether(t *testing.T) {
	self := owner.Entry{Name: "self", Boot: 1_800_000_000_000_000_000}
	tests := []struct {
		name string
		boot uint64
		want int
	}{
		{"at once", self.Boot, 1},
		{"shortly before", self.Boot - uint64(startWindow)/2, 1},
		{"long before", self.Boot - uint64(startWindow), 0},
		{"no time", 0, 0},
		{"half of all numbers away", self.Boot + 1<<63, 0},
		{"greatest number", math.MaxUint64, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			items := []roster.Item[owner.Entry]{{Name: "other", Revision: 3, Value: owner.Entry{Name: "other", Boot: tt.boot}}, {Name: "self", Revision: 4, Value: self}}
			qt.Assert(t, countEnrolledBefore(self, items), qt.Equals, tt.want)
		})
	}
}
