package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/standin/worker"
	"plumpitch.example/plumpitch/pkg/slot"
)

// Guards against a target that lives, or that this entry only doesn't reach, being taken for one
// that has ended.
func TestCheckEnded(t *testing.T) {
	tests := []struct {
		name   string
		id     string // of the target that was at the address
		change func(*worker.Worker)
		state  targetState
	}{
		{"it lives", "i-a", func(*worker.Worker) {}, targetLives},
		{"it has ended", "i-a", func(k *worker.Worker) { k.Close() }, targetEnded},
		{"another one has its address", "i-b", func(*worker.Worker) {}, targetEnded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			k, err := worker.Start("i-a")
			c.Assert(err, qt.IsNil)
			c.Cleanup(k.Close)
			tt.change(k)
			g := newWorld(t, worldConfig{}).newGateway("a", 1)
			c.Assert(g.checkEnded(slot.Target{ID: tt.id, Address: k.Address()}, "/health"), qt.Equals, tt.state)
		})
	}
}

// Guards against a lost path to a target being taken for the end of its process.
func TestUnreachable(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"refused", syscall.ECONNREFUSED, false},
		{"reset", syscall.ECONNRESET, false},
		{"no acknowledgement", syscall.ETIMEDOUT, true},
		{"no route", &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}, true},
		{"timeout of the check", context.DeadlineExceeded, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, isUnreachable(errors.WithMessage(tt.err, "probing")), qt.Equals, tt.want)
		})
	}
}

// Guards against an entry that is cut off from all targets and takes each of them for ended.
func TestLastAnswers(t *testing.T) {
	type note struct {
		target string
		second int
	}
	tests := []struct {
		name  string
		notes []note
		want  bool // another target than a has answered after second 5
	}{
		{"none", nil, false},
		{"only before", []note{{"b", 4}}, false},
		{"only this one", []note{{"a", 6}}, false},
		{"another one", []note{{"b", 6}}, true},
		{"another one, then this one", []note{{"b", 6}, {"a", 7}, {"a", 8}}, true},
		{"another one before, then this one", []note{{"b", 4}, {"a", 7}}, false},
	}
	start := time.Now()
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l lastAnswers
			for _, n := range tt.notes {
				l.note(at(n.second), n.target)
			}
			qt.Assert(t, l.otherSince("a", at(5)), qt.Equals, tt.want)
		})
	}
}
