package pace

import (
	"math/rand/v2"
	"time"
)

// loadReport is the load that a target reports.
type told struct {
	running int
	waiting int
	pace    float64
}

// target runs requests in its slots. Each running request progresses at the
// target's speed, which the pace divides, and PairSlowdown too if several run.
type target struct {
	place   int
	pace    float64
	running []work
	waiting []work
	since   time.Duration // time up to which the progress of running is counted
	gen     uint64        // generation of the scheduled workFinished event
}

// job is a request at a target.
type work struct {
	request int
	entry   int
	left    float64 // seconds on an idle target at pace 1
}

func (t *target) speed(s Shape) float64 {
	v := 1 / t.pace
	if len(t.running) > 1 {
		v /= s.Knee
	}
	return v
}

// advance subtracts the progress up to now from the running requests.
func (t *target) advance(now time.Duration, s Shape) {
	done := (now - t.since).Seconds() * t.speed(s)
	for i := range t.running {
		t.running[i].left -= done
	}
	t.since = now
}

// nextFinish returns the time until the first running request is finished.
func (t *target) next(s Shape) (delay time.Duration, ok bool) {
	if len(t.running) == 0 {
		return 0, false
	}
	shortest := t.running[0].left
	for _, j := range t.running[1:] {
		shortest = min(shortest, j.left)
	}
	return time.Duration(max(shortest, 0) / t.speed(s) * float64(time.Second)), true
}

func (t *target) load() told {
	return told{running: len(t.running), waiting: len(t.waiting), pace: t.pace}
}

// drawPace chooses the next pace of the target at random.
func (t *target) change(rnd *rand.Rand, s Shape) {
	t.pace = 1
	if rnd.Float64() < s.Slow {
		t.pace = s.SlowPace
	}
}
