package store

// kind is a kind of call.
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

// Counts are the calls that a Client has made, each attempt as one.
type Counts struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	VMs     uint64
	Retries uint64 // attempts after the first
	Failed  uint64 // attempts without a usable answer
}

// Counts returns the calls so far.
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
