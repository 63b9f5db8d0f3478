package grace

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a stop that gives requests up before the last sixth of its grace period, or before
// its port is closed, and against one that isn't over at the end of it.
func TestPeriod(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, tt := range []struct{ grace, closes, ends, exits time.Duration }{
		{0, 0, 0, 0},
		{500 * time.Millisecond, 250 * time.Millisecond, 437500 * time.Microsecond, 453125 * time.Microsecond},
		{time.Second, 500 * time.Millisecond, 875 * time.Millisecond, 906250 * time.Microsecond},
		{2 * time.Second, time.Second, 1750 * time.Millisecond, 1812500 * time.Microsecond},
		{3 * time.Second, 1500 * time.Millisecond, 2625 * time.Millisecond, 2718750 * time.Microsecond},
		{6 * time.Second, 3 * time.Second, 5400 * time.Millisecond, 5500 * time.Millisecond},
		{30 * time.Second, 3 * time.Second, 29400 * time.Millisecond, 29500 * time.Millisecond},
	} {
		p := New(Config{Began: began, Grace: tt.grace, Drain: 3 * time.Second})
		qt.Check(t, p, qt.Equals, Period{began.Add(tt.closes), began.Add(tt.ends), began.Add(tt.exits)}, qt.Commentf("%v", tt.grace))
		qt.Check(t, p.Ends.Sub(began) >= tt.grace*5/6, qt.IsTrue)
		qt.Check(t, p.Exits.Sub(began) <= tt.grace, qt.IsTrue)
	}
}

// Guards against requests that begin although they won't end in the grace period, and against
// refusals of those that will.
func TestAdmits(t *testing.T) {
	began := time.Unix(1000, 0)
	p := New(Config{Began: began, Grace: 6 * time.Second, Drain: 3 * time.Second}) // closes at 3 s, ends at 5.4 s
	const ms = time.Millisecond
	for _, tt := range []struct {
		name                         string
		at, deadline, usual, longest time.Duration
		want                         bool
	}{
		{"at the start", 0, 8000 * ms, 100 * ms, 200 * ms, true},
		{"early, nothing is known of the longest", 1000 * ms, 8000 * ms, 60 * ms, 0, true},
		{"early, some are too long", 2900 * ms, 8000 * ms, 400 * ms, 4000 * ms, true},
		{"early, most are too long", 2900 * ms, 8000 * ms, 2400 * ms, 4000 * ms, false},
		{"early, long but in time", 500 * ms, 8000 * ms, 3000 * ms, 4000 * ms, true},
		{"late, none is too long", 3100 * ms, 8000 * ms, 900 * ms, 1500 * ms, true},
		{"late, some are too long", 3100 * ms, 8000 * ms, 900 * ms, 2000 * ms, false},
		{"late, nothing is known of the longest", 3100 * ms, 8000 * ms, 60 * ms, 0, false},
		{"late, the deadline ends it in time", 3100 * ms, 5400 * ms, 3000 * ms, 4000 * ms, true},
		{"late, short", 5200 * ms, 8000 * ms, 50 * ms, 100 * ms, true},
		{"late, not short enough", 5350 * ms, 8000 * ms, 50 * ms, 100 * ms, false},
		{"at the end", 5400 * ms, 8000 * ms, 1 * ms, 1 * ms, false},
		{"at the end, at its deadline", 5400 * ms, 5400 * ms, 1 * ms, 1 * ms, false},
		{"behind the end", 5500 * ms, 5450 * ms, 1 * ms, 1 * ms, false},
	} {
		got := p.Admits(began.Add(tt.at), Request{began.Add(tt.deadline), tt.usual, tt.longest})
		qt.Check(t, got, qt.Equals, tt.want, qt.Commentf(tt.name))
	}
	qt.Check(t, Period{}.Admits(began, Request{began.Add(time.Hour), time.Hour, time.Hour}), qt.IsTrue)
}

// Guards against a longest duration that is forgotten at once, or never.
func TestDurations(t *testing.T) {
	var d Durations
	now := time.Unix(1000, 0)
	qt.Check(t, d.Longest(now, "a"), qt.Equals, time.Duration(0))
	d.Note(now, "a", 3*time.Second)
	d.Note(now, "a", time.Second)
	d.Note(now, "b", 2*time.Second)
	for _, tt := range []struct {
		after time.Duration
		want  time.Duration
	}{
		{0, 3 * time.Second}, {29 * time.Second, 3 * time.Second}, {31 * time.Second, 3 * time.Second}, {59 * time.Second, 3 * time.Second}, {62 * time.Second, 0},
	} {
		qt.Check(t, d.Longest(now.Add(tt.after), "a"), qt.Equals, tt.want, qt.Commentf("%v", tt.after))
	}
	qt.Check(t, d.Longest(now.Add(2*window), "b"), qt.Equals, time.Duration(0))
	for i := range maxClasses + 1 {
		d.Note(now, string(rune(i+1000)), time.Second)
	}
	qt.Check(t, len(d.byClass) <= maxClasses, qt.IsTrue)
}
