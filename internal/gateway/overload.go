package gateway

import "time"

// overloadDetector detects that this entry is overloaded. It measures how late the control
// loop's ticks are, since requests are delayed by as much.
type overloadDetector struct {
	lastTick        time.Time
	lateTicks       int       // consecutive late ticks
	overloadedUntil time.Time // end of the overloaded state
}

const (
	// maxTickDelay is how late a tick may be. A request and its response that are each
	// delayed by that much have used half of the shortest objective.
	maxTickDelay = 40 * time.Millisecond
	// overloadTicks is how many consecutive late ticks mean overload.
	overloadTicks = 2
	// overloadHold is how long an entry stays overloaded after the last detection. A slow
	// VM without callers appears healthy, so without this time it would get them back at
	// once.
	overloadHold = 6 * time.Second
)

// tick records a tick that was due one period after the previous one.
func (d *overloadDetector) tick(now time.Time, period time.Duration) {
	late := !d.lastTick.IsZero() && now.Sub(d.lastTick) > period+maxTickDelay
	d.lastTick = now
	if !late {
		d.lateTicks = 0
		return
	}
	d.lateTicks++
	if d.lateTicks >= overloadTicks {
		d.overloadedUntil = now.Add(overloadHold)
	}
}

// overloaded reports whether callers should be sent to other entries.
func (d *overloadDetector) overloaded(now time.Time) bool {
	return now.Before(d.overloadedUntil)
}
