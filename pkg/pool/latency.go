package pool

import (
	"math"
	"math/bits"
	"time"
)

const (
	bucketBits   = 3 // 8 buckets per doubling of the latency
	buckets      = 27 << bucketBits
	rebuildEvery = 128  // samples
	maxSamples   = 8192 // samples above which all weights are halved
	minSamples   = 64   // samples below which no target is evaluated
)

// LatencyDistribution is the distribution of the response times of the service, over all
// targets. Above maxSamples samples, the weight of the existing ones is halved, so that
// it follows changes.
type LatencyDistribution struct {
	counts       [buckets]float64
	hazard       [buckets]float64 // cumulative hazard at the bucket's lower end
	total        float64
	sum          float64 // nanoseconds
	median       time.Duration
	sinceRebuild int  // samples since the last rebuild
	ready        bool // enough samples were seen
}

// bucketOf returns the index of the bucket that contains d.
func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0)/time.Microsecond) + 1<<bucketBits
	top := bits.Len64(us) - 1
	i := (top-bucketBits)<<bucketBits + int(us>>(top-bucketBits))&(1<<bucketBits-1)
	return min(i, buckets-1)
}

// bucketStart returns the lower end of bucket i.
func bucketStart(i int) time.Duration {
	top := i>>bucketBits + bucketBits
	us := uint64(1)<<top + uint64(i&(1<<bucketBits-1))<<(top-bucketBits)
	return time.Duration(us-1<<bucketBits) * time.Microsecond
}

func (c *LatencyDistribution) add(d time.Duration) {
	c.counts[bucketOf(d)]++
	c.total++
	c.sum += float64(d)
	c.sinceRebuild++
	if c.sinceRebuild >= rebuildEvery || !c.ready && c.total >= minSamples {
		c.rebuild()
	}
}

func (c *LatencyDistribution) rebuild() {
	c.sinceRebuild = 0
	c.ready = true
	if c.total > maxSamples {
		for i := range c.counts {
			c.counts[i] /= 2
		}
		c.total /= 2
		c.sum /= 2
	}
	above := c.total + 1
	for i := range c.counts {
		c.hazard[i] = -math.Log(above / (c.total + 1))
		if above > (c.total+1)/2 {
			c.median = bucketStart(i)
		}
		above = max(above-c.counts[i], 0.5)
	}
}

// Hazard returns the cumulative hazard at age d: the negative logarithm of the share
// of responses that take longer. Its mean over the finished requests of a normal target
// is 1. It is 0 until enough responses are seen.
func (c *LatencyDistribution) Hazard(d time.Duration) float64 {
	return c.hazard[bucketOf(d)]
}

// Mean returns the mean response time, or fallback until enough responses are seen.
func (c *LatencyDistribution) Mean(fallback time.Duration) time.Duration {
	if !c.ready {
		return fallback
	}
	return time.Duration(c.sum / c.total)
}

// Median returns the median response time, or fallback until enough responses are seen.
func (c *LatencyDistribution) Median(fallback time.Duration) time.Duration {
	if !c.ready {
		return fallback
	}
	return c.median
}
