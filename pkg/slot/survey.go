package slot

import "time"

// loadStats counts how many targets are busy and how many have an unknown load. With few
// targets, every one has reported its load within the time in which its pace stays the same.
// With hundreds of targets and several entries, nearly none has. A target with one request
// of this entry may then have one of another entry too, and in a burst none of the few
// probed targets may be idle although many others are.
type survey struct {
	all     int // available targets
	taken   int // targets with a request, by the current estimate
	unknown int // targets whose current load is unknown
}

func (s *survey) add(now time.Time, m *member, c *Config) {
	if m.leaves() {
		return
	}
	s.all++
	if m.busy(now, c) > 0 {
		s.taken++
	}
	if m.unknown(now, c) {
		s.unknown++
	}
}

// loadUnknown reports whether the last load report is so old that the pace has changed since
// then and other entries may have sent requests.
func (m *member) unknown(now time.Time, c *Config) bool {
	return !m.loads || now.Sub(m.told) > 2*c.Hold
}

// unknownShare returns the share of targets whose load is unknown.
func (s survey) blind() float64 { return float64(s.unknown) / float64(max(s.all, 1)) }

// pressure is near 1 when nearly all targets are busy and their load is unknown.
func (s survey) strain() float64 { return float64(s.taken) / float64(max(s.all, 1)) * s.blind() }

// Factors that raise the cost of a target.
const (
	// maxRemotePenalty applies to targets in another failure domain. Traffic between domains
	// has a price, but a choice among too few targets causes late responses.
	farFactor = 2
	// maxExtraCrowdedPenalty applies in addition to a target that one more request would
	// crowd, when loads are unknown. The target may have a request of another entry too, and
	// an idle one in another failure domain takes precedence.
	crowdFactor = 2
)

// remotePenalty returns the current cost factor of targets in another failure domain. It
// falls as the pressure rises, since the nearby targets alone may then be too few.
func (s survey) far() float64 { return farFactor - s.strain() }

// crowdedPenalty returns the current cost factor of targets that one more request would
// crowd.
func (s survey) crowd() float64 { return 1 + crowdFactor*s.blind() }

// maxExtraProbes is the number of extra probes at the highest pressure. The total is bounded
// by maxCandidates.
const mostMore = 16

// extraProbes returns the number of extra probes per request, for targets whose load is
// unknown.
func (b *Book) more() int {
	if b.cfg.Ask <= 0 {
		return 0
	}
	return int(mostMore * b.view.strain())
}
