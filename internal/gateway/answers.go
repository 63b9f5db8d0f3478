package gateway

import (
	"sync"
	"time"
)

// lastAnswers holds when two targets of a service last answered: the last one, and the last of
// the others.
type lastAnswers struct {
	mu          sync.Mutex
	last, other answer
}

type answer struct {
	target string
	at     time.Time
}

// note records an answer of a target.
func (l *lastAnswers) note(now time.Time, target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if target != l.last.target {
		l.other = l.last
	}
	l.last = answer{target, now}
}

// otherSince reports whether a target other than this one has answered since a time.
func (l *lastAnswers) otherSince(target string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.last
	if a.target == target {
		a = l.other
	}
	return a.at.After(since)
}
