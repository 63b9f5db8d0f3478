package owner

// Number is how many owners a host has, as its first owner has decided and tells
// all others.
type Number struct {
	Host     uint32 // of HostID
	Owners   int
	Rate     float64 // requests a second at all entries
	Sequence uint64  // grows with each word on the host, whoever says it
}

// Numbers are the last words on all hosts, by host. Each entry passes them on,
// so that they reach all without a message from the first owner to each.
type Numbers map[uint32]Number

// Hear takes a word of another entry, and tells whether it is news.
func (n Numbers) Hear(w Number) bool {
	if w.Sequence <= n[w.Host].Sequence {
		return false
	}
	n[w.Host] = w
	return true
}

// rateChange is the part by which a rate differs from the one told before it is
// told again. Retry budgets are shared out by it and half of each is kept back.
const rateChange = 0.1

// Say takes what this entry decides as a host's first owner. urgent tells that
// the number of owners changed, so that callers are sent to others.
func (n Numbers) Say(host uint32, owners int, rate float64) (urgent bool) {
	old := n[host]
	urgent = old.Owners != owners
	if !urgent && rate >= old.Rate*(1-rateChange) && rate <= old.Rate*(1+rateChange) {
		return false
	}
	n[host] = Number{Host: host, Owners: owners, Rate: rate, Sequence: old.Sequence + 1}
	return urgent
}

// List gives the words on hosts, of at most so many.
func (n Numbers) List(most int) (list []Number) {
	for _, w := range n {
		if len(list) == most {
			break
		}
		list = append(list, w)
	}
	return list
}
