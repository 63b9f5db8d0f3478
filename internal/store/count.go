package store

// counter identifies one of the counters behind Counts.
type kind int

const (
	read kind = iota
	write
	watch
	vms
	retry
	failed
	kinds
)

// Counts are the numbers of calls that a Client has made. Each attempt counts.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	VMs     uint64
	Retries uint64 // attempts after the first
	Failed  uint64 // attempts without a usable response
}

// Counts returns the number of calls made so far.
func (s *Client) Counts() Counts {
	return Counts{
		Reads:   s.counts[read].Load(),
		Writes:  s.counts[write].Load(),
		Watches: s.counts[watch].Load(),
		VMs:     s.counts[vms].Load(),
		Retries: s.counts[retry].Load(),
		Failed:  s.counts[failed].Load(),
	}
}
