package grace

import "time"

const (
	// window is the time after which a duration is forgotten: at the earliest after one, at the
	// latest after two.
	window = 30 * time.Second
	// maxClasses bounds the number of classes; one class more clears them all.
	maxClasses = 1024
)

// Durations holds the longest recent duration of requests of each class. The zero value is empty. It
// isn't safe for concurrent use.
type Durations struct {
	byClass map[string]*longest
}

// longest is the longest duration in this window and in the one before it.
type longest struct {
	began          time.Time
	recent, before time.Duration
}

// Note records that a request took this long.
func (d *Durations) Note(now time.Time, class string, took time.Duration) {
	l := d.byClass[class]
	if l == nil {
		if d.byClass == nil || len(d.byClass) >= maxClasses {
			d.byClass = make(map[string]*longest)
		}
		l = &longest{began: now}
		d.byClass[class] = l
	}
	l.turn(now)
	l.recent = max(l.recent, took)
}

// Longest returns the longest recent duration of a class; 0 if there is none.
func (d *Durations) Longest(now time.Time, class string) time.Duration {
	l := d.byClass[class]
	if l == nil {
		return 0
	}
	l.turn(now)
	return max(l.recent, l.before)
}

// turn begins a new window if it is time.
func (l *longest) turn(now time.Time) {
	switch age := now.Sub(l.began); {
	case age < window:
		return
	case age < 2*window:
		l.before = l.recent
	default:
		l.before = 0
	}
	l.began, l.recent = now, 0
}
