package pace

import (
	"math/rand/v2"
	"time"
)

// told is what a target says of its load.
type told struct {
	running int
	waiting int
	pace    float64
}

// target runs requests in its slots. All that run share its speed, which the
// pace and the knee divide.
type target struct {
	place   int
	pace    float64
	running []work
	waiting []work
	since   time.Duration // until when running is worked off
	gen     uint64        // of the next end
}

// work is a request at a target.
type work struct {
	request int
	entry   int
	left    float64 // seconds on an idle target of usual pace
}

func (t *target) speed(s Shape) float64 {
	v := 1 / t.pace
	if len(t.running) > 1 {
		v /= s.Knee
	}
	return v
}

// advance works off what has been done until now.
func (t *target) advance(now time.Duration, s Shape) {
	done := (now - t.since).Seconds() * t.speed(s)
	for i := range t.running {
		t.running[i].left -= done
	}
	t.since = now
}

// next tells when the first running request ends.
func (t *target) next(s Shape) (in time.Duration, ok bool) {
	if len(t.running) == 0 {
		return 0, false
	}
	least := t.running[0].left
	for _, w := range t.running[1:] {
		least = min(least, w.left)
	}
	return time.Duration(max(least, 0) / t.speed(s) * float64(time.Second)), true
}

func (t *target) load() told {
	return told{running: len(t.running), waiting: len(t.waiting), pace: t.pace}
}

func (t *target) change(rnd *rand.Rand, s Shape) {
	t.pace = 1
	if rnd.Float64() < s.Slow {
		t.pace = s.SlowPace
	}
}
