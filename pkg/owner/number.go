package owner

// Number is how many owners a host has, as its first owner has decided and tells
// all others.
type Number struct {
	Host     uint32 // of HostID
	Owners   int
	Rate     float64 // requests a second at all entries
	Sequence uint64  // grows with each word on the host, whoever says it
}

// Numbers are the last words on all hosts. Each entry passes them on, so that
// they reach all without a message from the first owner to each.
type Numbers struct {
	words map[uint32]Number
	sends map[uint32]int // messages that will still carry a word
}

// numberSends is how many messages carry a word: twice what it takes until
// thousands have heard of it.
const numberSends = 24

// NewNumbers knows no host.
func NewNumbers() Numbers {
	return Numbers{words: make(map[uint32]Number), sends: make(map[uint32]int)}
}

// Of gives the last word on a host.
func (n Numbers) Of(host uint32) (w Number, told bool) {
	w, told = n.words[host]
	return w, told
}

// Hear takes a word of another entry, and tells whether it is news.
func (n Numbers) Hear(w Number) bool {
	if w.Sequence <= n.words[w.Host].Sequence {
		return false
	}
	n.words[w.Host], n.sends[w.Host] = w, numberSends
	return true
}

// rateChange is the part by which a rate differs from the one told before it is
// told again. Retry budgets are shared out by it and half of each is kept back.
const rateChange = 0.1

// Say takes what this entry decides as a host's first owner. urgent tells that
// the number of owners changed, so that callers are sent to others.
func (n Numbers) Say(host uint32, owners int, rate float64) (urgent bool) {
	old := n.words[host]
	urgent = old.Owners != owners
	if !urgent && rate >= old.Rate*(1-rateChange) && rate <= old.Rate*(1+rateChange) {
		return false
	}
	n.words[host], n.sends[host] = Number{Host: host, Owners: owners, Rate: rate, Sequence: old.Sequence + 1}, numberSends
	return urgent
}

// Next gives the words that a message carries, of at most so many hosts. To one
// that may lack any it gives them whether news or not.
func (n Numbers) Next(most int, all bool) (list []Number) {
	for host, w := range n.words {
		if len(list) == most {
			break
		}
		if n.sends[host] > 0 || all {
			n.sends[host] = max(n.sends[host]-1, 0)
			list = append(list, w)
		}
	}
	return list
}
