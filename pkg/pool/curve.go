package pool

import (
	"math"
	"math/bits"
	"time"
)

const (
	stepBits     = 3 // 8 buckets per doubling of the latency
	buckets      = 27 << stepBits
	rebuildEvery = 128  // samples
	curveKeep    = 8192 // samples above which all weights are halved
	curveReady   = 64   // samples below which no target is evaluated
)

// LatencyDistribution is the distribution of the response times of the service, over all
// targets. Above maxSamples samples, the weight of the existing ones is halved, so that
// it follows changes.
type Curve struct {
	count  [buckets]float64
	hazard [buckets]float64 // cumulative hazard at the bucket's lower end
	total  float64
	sum    float64 // nanoseconds
	median time.Duration
	fresh  int  // samples since the last rebuild
	ready  bool // enough samples were seen
}

// bucketOf returns the index of the bucket that contains d.
func bucket(d time.Duration) int {
	us := uint64(max(d, 0)/time.Microsecond) + 1<<stepBits
	top := bits.Len64(us) - 1
	i := (top-stepBits)<<stepBits + int(us>>(top-stepBits))&(1<<stepBits-1)
	return min(i, buckets-1)
}

// bucketStart returns the lower end of bucket i.
func lower(i int) time.Duration {
	top := i>>stepBits + stepBits
	us := uint64(1)<<top + uint64(i&(1<<stepBits-1))<<(top-stepBits)
	return time.Duration(us-1<<stepBits) * time.Microsecond
}

func (c *Curve) add(d time.Duration) {
	c.count[bucket(d)]++
	c.total++
	c.sum += float64(d)
	c.fresh++
	if c.fresh >= rebuildEvery || !c.ready && c.total >= curveReady {
		c.rebuild()
	}
}

func (c *Curve) rebuild() {
	c.fresh = 0
	c.ready = true
	if c.total > curveKeep {
		for i := range c.count {
			c.count[i] /= 2
		}
		c.total /= 2
		c.sum /= 2
	}
	above := c.total + 1
	for i := range c.count {
		c.hazard[i] = -math.Log(above / (c.total + 1))
		if above > (c.total+1)/2 {
			c.median = lower(i)
		}
		above = max(above-c.count[i], 0.5)
	}
}

// Hazard returns the cumulative hazard at age d: the negative logarithm of the share
// of responses that take longer. Its mean over the finished requests of a normal target
// is 1. It is 0 until enough responses are seen.
func (c *Curve) Hazard(d time.Duration) float64 {
	return c.hazard[bucket(d)]
}

// Mean returns the mean response time, or fallback until enough responses are seen.
func (c *Curve) Mean(fallback time.Duration) time.Duration {
	if !c.ready {
		return fallback
	}
	return time.Duration(c.sum / c.total)
}

// Median returns the median response time, or fallback until enough responses are seen.
func (c *Curve) Median(fallback time.Duration) time.Duration {
	if !c.ready {
		return fallback
	}
	return c.median
}
