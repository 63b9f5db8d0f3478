package owner

// Count is the number of owners of a host, which its first owner decides and
// announces.
type Count struct {
	Host     uint32 // as returned by HostID
	Owners   int
	Rate     float64 // requests per second at all entries
	Sequence uint64  // increases with each announcement for the host, by any entry
}

// Counts holds the newest count of each host. Each entry relays the counts, so that
// they reach all entries without a direct message from the first owner.
type Counts struct {
	byHost    map[uint32]Count
	sendsLeft map[uint32]int // messages that will still include a count
}

// countSends is the number of messages that include a count: twice as many as it takes
// to reach thousands of entries.
const countSends = 24

// NewCounts returns an empty set of counts.
func NewCounts() Counts {
	return Counts{byHost: make(map[uint32]Count), sendsLeft: make(map[uint32]int)}
}

// Get returns the newest count of a host and whether there is one.
func (cs Counts) Get(host uint32) (c Count, known bool) {
	c, known = cs.byHost[host]
	return c, known
}

// Merge merges a count received from another entry and reports whether it is newer.
func (cs Counts) Merge(c Count) bool {
	if c.Sequence <= cs.byHost[c.Host].Sequence {
		return false
	}
	cs.byHost[c.Host], cs.sendsLeft[c.Host] = c, countSends
	return true
}

// minRateChange is the relative change above which a rate is announced again. Entries
// divide the slack of the retry budgets by rate; half of it is held back, which leaves
// room for smaller errors.
const minRateChange = 0.1

// Update sets the count that this entry decides as a host's first owner. urgent reports
// whether the number of owners changed, so that callers are sent to other entries.
func (cs Counts) Update(host uint32, owners int, rate float64) (urgent bool) {
	old := cs.byHost[host]
	urgent = old.Owners != owners
	if !urgent && rate >= old.Rate*(1-minRateChange) && rate <= old.Rate*(1+minRateChange) {
		return false
	}
	cs.byHost[host], cs.sendsLeft[host] = Count{Host: host, Owners: owners, Rate: rate, Sequence: old.Sequence + 1}, countSends
	return urgent
}

// TakeUnsent returns up to most counts for one message, those that still have to be
// sent. With all set it returns any counts, for a receiver that may lack them.
func (cs Counts) TakeUnsent(most int, all bool) (list []Count) {
	for host, c := range cs.byHost {
		if len(list) == most {
			break
		}
		if cs.sendsLeft[host] > 0 || all {
			cs.sendsLeft[host] = max(cs.sendsLeft[host]-1, 0)
			list = append(list, c)
		}
	}
	return list
}
