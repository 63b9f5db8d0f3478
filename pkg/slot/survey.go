package slot

import "time"

// survey is how much the targets have to do and how much of that is known. At a few
// targets every one has told its load within the time that a pace lasts. Among hundreds,
// with several entries that send to them, nearly none has: a target that holds one request
// of this entry may hold another one's too, and of the few that are asked in a burst none
// may be idle though many are.
type survey struct {
	all     int // targets that may get work
	taken   int // that hold a request, as far as is known
	unknown int // whose load isn't known now
}

func (v *survey) add(now time.Time, m *member, c *Config) {
	if m.leaves() {
		return
	}
	v.all++
	if m.busy(now, c) > 0 {
		v.taken++
	}
	if m.unknown(now, c) {
		v.unknown++
	}
}

// unknown reports whether the target's last word is so old that its pace has changed
// since, and that requests of others may have come.
func (m *member) unknown(now time.Time, c *Config) bool {
	return !m.loads || now.Sub(m.told) > 2*c.Hold
}

// blind is the part of the targets that nothing is known of.
func (v survey) blind() float64 { return float64(v.unknown) / float64(max(v.all, 1)) }

// strain is near 1 where nearly all targets hold a request and nothing is known of them.
func (v survey) strain() float64 { return float64(v.taken) / float64(max(v.all, 1)) * v.blind() }

// What a target counts for more.
const (
	// farFactor is that of one in another failure domain: traffic between them costs,
	// and a choice among too few costs late answers.
	farFactor = 2
	// crowdFactor is added for one that one more request would crowd, where nothing is
	// known: it may hold another entry's request too, and an idle one in another failure
	// domain comes first.
	crowdFactor = 2
)

// far is what a target in another failure domain counts for more now. The more there is
// to do, the less a choice among those nearby is enough.
func (v survey) far() float64 { return farFactor - v.strain() }

// crowd is what a target counts for more now that one more request would crowd.
func (v survey) crowd() float64 { return 1 + crowdFactor*v.blind() }

// mostMore is how many targets more would be asked at the greatest strain. All in all no
// more than choices are.
const mostMore = 16

// more is how many targets more a request asks, of those that nothing is known of.
func (b *Book) more() int {
	if b.cfg.Ask <= 0 {
		return 0
	}
	return int(mostMore * b.view.strain())
}
