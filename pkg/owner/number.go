package owner

// Count is the number of owners of a host, which its first owner decides and
// announces.
type Number struct {
	Host     uint32 // as returned by HostID
	Owners   int
	Rate     float64 // requests per second at all entries
	Sequence uint64  // increases with each announcement for the host, by any entry
}

// Counts holds the newest count of each host. Each entry relays the counts, so that
// they reach all entries without a direct message from the first owner.
type Numbers struct {
	words map[uint32]Number
	sends map[uint32]int // messages that will still include a count
}

// countSends is the number of messages that include a count: twice as many as it takes
// to reach thousands of entries.
const numberSends = 24

// NewCounts returns an empty set of counts.
func NewNumbers() Numbers {
	return Numbers{words: make(map[uint32]Number), sends: make(map[uint32]int)}
}

// Get returns the newest count of a host and whether there is one.
func (cs Numbers) Of(host uint32) (c Number, known bool) {
	c, known = cs.words[host]
	return c, known
}

// Merge merges a count received from another entry and reports whether it is newer.
func (cs Numbers) Hear(c Number) bool {
	if c.Sequence <= cs.words[c.Host].Sequence {
		return false
	}
	cs.words[c.Host], cs.sends[c.Host] = c, numberSends
	return true
}

// minRateChange is the relative change of a rate that is announced. Retry budgets are
// divided by rate, and half of each is held back.
const rateChange = 0.1

// Update sets the count that this entry decides as a host's first owner. urgent reports
// whether the number of owners changed, so that callers are sent to other entries.
func (cs Numbers) Say(host uint32, owners int, rate float64) (urgent bool) {
	old := cs.words[host]
	urgent = old.Owners != owners
	if !urgent && rate >= old.Rate*(1-rateChange) && rate <= old.Rate*(1+rateChange) {
		return false
	}
	cs.words[host], cs.sends[host] = Number{Host: host, Owners: owners, Rate: rate, Sequence: old.Sequence + 1}, numberSends
	return urgent
}

// TakeUnsent returns up to most counts for one message, those that still have to be
// sent. With all set it returns any counts, for a receiver that may lack them.
func (cs Numbers) Next(most int, all bool) (list []Number) {
	for host, c := range cs.words {
		if len(list) == most {
			break
		}
		if cs.sends[host] > 0 || all {
			cs.sends[host] = max(cs.sends[host]-1, 0)
			list = append(list, c)
		}
	}
	return list
}
