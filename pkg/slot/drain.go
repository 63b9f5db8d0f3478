package slot

import (
	"maps"
	"math"
	"time"
)

// drainRate measures how fast a queue is served: the work that is dispatched while requests
// are queued, in seconds of baseline service time a second.
type drainRate struct {
	work, time float64 // weighted by age, in seconds
	at         time.Time
	queued     bool // whether requests were queued at that time
	// ahead and count are used while the queue is passed: the work and the requests before
	// the one at hand.
	ahead float64
	count int
}

const (
	// drainHalfLife is the age at which a measurement has lost half of its weight.
	drainHalfLife = 300 * time.Millisecond
	// minDrainTime is the weighted time with a queue after which the measured rate is used.
	minDrainTime = 0.05
	// minDrainRate bounds the estimate from below, so that a wait is finite: one request at a
	// time at a slow target.
	minDrainRate = 0.2
)

// advance notes whether requests are queued from now on.
func (d *drainRate) advance(now time.Time, queued bool) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		if !d.at.IsZero() {
			factor := math.Exp2(-elapsed.Seconds() / drainHalfLife.Seconds())
			d.work *= factor
			d.time *= factor
			if d.queued {
				d.time += elapsed.Seconds()
			}
		}
		d.at = now
	}
	d.queued = queued
}

// dispatched counts a request that was dispatched while others were queued.
func (d *drainRate) dispatched(work time.Duration) {
	if d.queued {
		d.work += work.Seconds()
	}
}

// drainRate returns the rate at which requests with the regions of p are expected to be
// served. Until it has been measured, it is what the targets that accept requests do beside
// the other entries' requests, as far as these are known.
func (b *Balancer) drainRate(now time.Time, p *pendingRequest) (rate float64) {
	if d := b.overload.drains[p.region]; d != nil && d.time >= minDrainTime {
		return max(d.work/d.time, minDrainRate)
	}
	for _, m := range b.sorted {
		if !m.inRegions(p.Regions) || !m.acceptsRequests(now) || !b.admits(now, m) {
			continue
		}
		room := float64(max(m.Slots-m.otherInFlight(now, &b.config), 0))
		rate += room / (m.estimatedPace(now, b.meanPace, &b.config) * b.crowdedFactor)
	}
	return max(rate, minDrainRate)
}

// maxDrains bounds the sets of regions whose rates are kept while no request is queued.
const maxDrains = 64

// measureQueue notes for which regions requests are queued from now on.
func (b *Balancer) measureQueue(now time.Time) {
	o := b.overload
	if o == nil {
		return
	}
	for _, d := range o.drains {
		d.count = 0
	}
	for _, p := range b.queue {
		if p.drain = o.drains[p.region]; p.drain == nil {
			p.drain = o.addDrain(p.region)
		}
		p.drain.count++
	}
	for _, d := range o.drains {
		d.advance(now, d.count > 0)
	}
}

func (o *overload) addDrain(region string) *drainRate {
	if len(o.drains) >= maxDrains {
		maps.DeleteFunc(o.drains, func(_ string, d *drainRate) bool { return d.count == 0 })
	}
	d := &drainRate{}
	o.drains[region] = d
	return d
}
