package slot

import "time"

// loadStats counts how many targets are busy and how many have an unknown load. With few
// targets, every one has reported its load within the time in which its pace stays the same.
// With hundreds of targets and several entries, nearly none has. A target with one request
// of this entry may then have one of another entry too, and in a burst all of the few
// probed targets may be busy although many others are idle.
type loadStats struct {
	total   int // available targets
	busy    int // targets with a request, by the current estimate
	unknown int // targets whose current load is unknown
}

func (s *loadStats) add(now time.Time, m *member, c *Config) {
	if m.excluded() {
		return
	}
	s.total++
	if m.totalInFlight(now, c) > 0 {
		s.busy++
	}
	if m.loadUnknown(now, c) {
		s.unknown++
	}
}

// loadUnknown reports whether the last load report is so old that the pace has changed since
// then and other entries may have sent requests.
func (m *member) loadUnknown(now time.Time, c *Config) bool {
	return !m.loadKnown || now.Sub(m.loadAt) > 2*c.LoadHalfLife
}

// unknownShare returns the share of targets whose load is unknown.
func (s loadStats) unknownShare() float64 { return float64(s.unknown) / float64(max(s.total, 1)) }

// pressure returns a value from 0 to 1: near 1 when nearly all targets are busy and their
// load is unknown.
func (s loadStats) pressure() float64 {
	return float64(s.busy) / float64(max(s.total, 1)) * s.unknownShare()
}

// Factors that raise the cost of a target.
const (
	// maxRemotePenalty applies to targets in another failure domain. Traffic between domains
	// has a price, but a choice among too few targets causes late responses.
	maxRemotePenalty = 2
	// maxExtraCrowdedPenalty is added to the factor of a target that one more request would
	// crowd, in proportion to the share of unknown loads. The target may have a request of
	// another entry too, so an idle one in another failure domain takes precedence.
	maxExtraCrowdedPenalty = 2
)

// remotePenalty returns the current cost factor of targets in another failure domain. It
// falls as the pressure rises, since the nearby targets alone may then be too few.
func (s loadStats) remotePenalty() float64 { return maxRemotePenalty - s.pressure() }

// crowdedPenalty returns the current cost factor of targets that one more request would
// crowd.
func (s loadStats) crowdedPenalty() float64 { return 1 + maxExtraCrowdedPenalty*s.unknownShare() }

// maxExtraProbes is the number of extra probes at the highest pressure. The total is bounded
// by maxCandidates.
const maxExtraProbes = 16

// extraProbes returns the number of extra probes per request, for targets whose load is
// unknown.
func (b *Balancer) extraProbes() int {
	if b.config.Probes <= 0 {
		return 0
	}
	return int(maxExtraProbes * b.stats.pressure())
}
