package alarm

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestAlarm(t *testing.T) {
	fired := make(chan bool, 8)
	a := New(func() { fired <- true })
	now := time.Now()
	tests := []struct {
		name string
		next time.Time
		want bool
	}{
		{"past", now.Add(-time.Second), true},
		{"soon", now.Add(10 * time.Millisecond), true},
		{"not at all", time.Time{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a.Set(now, now.Add(time.Hour))
			a.Set(now, tt.next)
			select {
			case <-fired:
				a.Fired()
				qt.Assert(t, tt.want, qt.IsTrue)
			case <-time.After(map[bool]time.Duration{true: 10 * time.Second, false: 50 * time.Millisecond}[tt.want]):
				qt.Assert(t, tt.want, qt.IsFalse)
			}
		})
	}
}
