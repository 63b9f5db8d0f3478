package slot

import "time"

// shedding measures how often targets reject requests although they report room.
//
// A target that does so has a fault. If only a few targets do, they are best avoided. If most
// of them do, none is better than the others: avoiding those that have just rejected a request
// would leave the rest with all requests, and a caller that returns at once is as likely to be
// served as one that waits.
type shedding struct {
	share float64 // of the dispatches that ended, the last ones weighing most
}

const (
	// sheddingWeight is the weight of a dispatch. It has to be high, as one of 140 entries sends
	// 10 requests a second to a service: at 1/64 it noticed after 2 s that half of them were
	// rejected. It has to be so low that one target is ejected, after four rejections in a row,
	// before these count as widespread.
	sheddingWeight = 1.0 / 24
	// widespreadShare is the share above which rejections are taken for a fault of the service.
	// A few faulty targets reject less, as they are soon ejected.
	widespreadShare = 0.2
	// maxRejectionRun is the number of rejections in a row up to which a target rejects no more
	// than others, if rejections are widespread. Of targets that reject 55 in 100 requests, 1 in
	// 120 comes to 8 in a row. Some that reject all of them look idle and get most requests,
	// which makes rejections look widespread.
	maxRejectionRun = 8
)

// add adds a dispatch that has ended.
func (s *shedding) add(rejected bool) {
	if rejected {
		s.share += (1 - s.share) * sheddingWeight
		return
	}
	s.share -= s.share * sheddingWeight
}

// widespread reports whether rejections are a fault of the service and not of single targets.
func (s *shedding) widespread() bool { return s.share > widespreadShare }

// hasRoom reports whether a target's report shows a free slot.
func (m *member) hasRoom(r Report) bool {
	return r.HasLoad && r.Load.total() < m.Slots
}

// rejecting reports whether most targets reject requests although they have room. A target that
// does so no more than the others isn't avoided for it.
func (b *Balancer) rejecting() bool { return b.overload != nil && b.overload.shedding.widespread() }

// recordShed applies the rejection of a request by a target.
func (b *Balancer) recordShed(now time.Time, m *member, r Report) {
	cooldown := shedCooldown << min(m.consecutiveSheds, maxShedDoublings)
	m.consecutiveSheds++
	if b.overload != nil && m.hasRoom(r) {
		b.overload.shedding.add(true)
		if b.rejecting() && m.consecutiveSheds <= maxRejectionRun {
			return
		}
	}
	m.recordFailure(now, shedWeight, &b.config)
	m.cooldownUntil = latest(m.cooldownUntil, now.Add(cooldown))
}

// mayBeSlow reports whether a target of unknown pace is acceptable beside other requests. Each
// rejection uses up a target with a recent report, and the probe limit doesn't allow for as many
// probes as there are dispatches then. Beyond half of the slots, such targets are left to
// the probes: a request at a slow target would crowd it.
func (b *Balancer) mayBeSlow(now time.Time, c candidate) bool {
	return b.rejecting() && c.loadUnknown(now, &b.config) && 2*(c.totalInFlight(now, &b.config)+1) <= c.Slots
}

// returnsAtOnce reports whether a caller is as likely to be served at once as later, because
// targets reject requests although they have room.
func (b *Balancer) returnsAtOnce(now time.Time, p *pendingRequest) bool {
	return b.rejecting() && (len(b.queue) == 0 || b.anyUsable(now, p))
}
