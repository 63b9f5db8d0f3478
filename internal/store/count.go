package store

// counter identifies one of the counters behind Counts.
type counter int

const (
	readCalls counter = iota
	writeCalls
	watchCalls
	vmListCalls
	retriedCalls
	failedCalls
	refusedObjects
	numCounters
)

// Counts are the numbers of calls that a Client has made. Each attempt counts.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	VMs     uint64
	Retries uint64 // attempts after the first
	Failed  uint64 // attempts without a usable response
	Refused uint64 // objects that can't be decoded, each time that one is read
}

// Counts returns the number of calls made so far.
func (s *Client) Counts() Counts {
	return Counts{
		Reads:   s.counts[readCalls].Load(),
		Writes:  s.counts[writeCalls].Load(),
		Watches: s.counts[watchCalls].Load(),
		VMs:     s.counts[vmListCalls].Load(),
		Retries: s.counts[retriedCalls].Load(),
		Failed:  s.counts[failedCalls].Load(),
		Refused: s.counts[refusedObjects].Load(),
	}
}
