package pace

import (
	"math/rand/v2"
	"time"
)

// loadReport is the load that a target reports.
type loadReport struct {
	running int
	waiting int
	pace    float64
}

// target runs requests in its slots. Each running request progresses at the same
// speed: 1 divided by the pace, and also by PairSlowdown if several run.
type target struct {
	place        int
	pace         float64
	running      []job
	waiting      []job
	progressTime time.Duration // time up to which the progress of the running requests is counted
	generation   uint64        // generation of the scheduled workFinished event
}

// job is a request at a target.
type job struct {
	request   int
	entry     int
	remaining float64 // seconds on an idle target at pace 1
}

func (t *target) speed(s Shape) float64 {
	v := 1 / t.pace
	if len(t.running) > 1 {
		v /= s.PairSlowdown
	}
	return v
}

// advance subtracts the progress up to now from the running requests.
func (t *target) advance(now time.Duration, s Shape) {
	done := (now - t.progressTime).Seconds() * t.speed(s)
	for i := range t.running {
		t.running[i].remaining -= done
	}
	t.progressTime = now
}

// nextFinish returns the time until the first running request is finished.
func (t *target) nextFinish(s Shape) (delay time.Duration, ok bool) {
	if len(t.running) == 0 {
		return 0, false
	}
	shortest := t.running[0].remaining
	for _, j := range t.running[1:] {
		shortest = min(shortest, j.remaining)
	}
	return time.Duration(max(shortest, 0) / t.speed(s) * float64(time.Second)), true
}

func (t *target) report() loadReport {
	return loadReport{running: len(t.running), waiting: len(t.waiting), pace: t.pace}
}

// drawPace chooses the next pace of the target at random.
func (t *target) drawPace(rnd *rand.Rand, s Shape) {
	t.pace = 1
	if rnd.Float64() < s.SlowShare {
		t.pace = s.SlowPace
	}
}
