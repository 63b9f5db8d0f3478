package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/internal/standin/objects"
	"plumpitch.example/plumpitch/pkg/member"
)

type contactShareRequest struct{ reply chan float64 }

func (m contactShareRequest) apply(_ time.Time, c *control) { m.reply <- c.contactShare() }

func (e *entry) contactShare() float64 {
	m := contactShareRequest{make(chan float64, 1)}
	e.control.enqueue(e.w.c.Context(), m)
	return <-m.reply
}

// An entry hears of no other. Guards against one that takes all of the retry budget although
// the store lists others, or although it has not been able to ask the store.
func TestContactShareOfSilentEntries(t *testing.T) {
	tests := []struct {
		name   string
		others []string // addresses of records of entries that don't answer
		down   bool     // the store is
		want   float64
	}{
		{"no other exists", nil, false, 1},
		{"one doesn't answer", []string{"127.0.0.1:1"}, false, 1.0 / 2},
		{"three don't", []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, false, 1.0 / 4},
		{"the store is down", []string{"127.0.0.1:1"}, true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, worldConfig{targets: 1})
			for _, address := range tt.others {
				w.store.Put("entries", address, map[string]any{"front": "127.0.0.1:9", "peer": address})
			}
			if tt.down {
				w.store.SetFaults(func(*http.Request) objects.Fault { return objects.Fault{Down: true} })
			}
			e := w.startEntry("a")
			if !tt.down {
				w.waitFor("records listed", func() bool { return e.contactShare() > 0 })
			}
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				w.c.Assert(e.contactShare(), qt.Equals, tt.want)
			}
		})
	}
}

// An entry finds records of entries that started after it and that it doesn't hear, though it
// took itself for the only one before.
func TestSilentEntryFoundLater(t *testing.T) {
	t.Parallel()
	w := newWorld(t, worldConfig{targets: 1})
	e := w.startEntry("a").waitReady()
	w.waitFor("alone", func() bool { return e.contactShare() == 1 })
	w.store.Put("entries", "b", map[string]any{"front": "127.0.0.1:9", "peer": "127.0.0.1:1"})
	w.waitFor("the other is known", func() bool { return e.contactShare() == 0.5 })
}

func TestContactState(t *testing.T) {
	tests := []struct {
		contact member.Contact
		want    string
	}{
		{member.Contact{}, "unknown"},
		{member.Contact{Up: 2, Known: 2}, "full"},
		{member.Contact{Up: 1, Known: 2}, "partial"},
		{member.Contact{Known: 2}, "none"},
	}
	for _, tt := range tests {
		qt.Assert(t, contactStateOf(tt.contact).String(), qt.Equals, tt.want)
	}
}
