package tail

import "time"

// Shape describes one service: its size, network delays and service time.
type Shape struct {
	Name        string
	Workers     int
	Slots       int           // requests that a worker processes at the same time
	Entries     int           // entries of the region
	CallerDelay time.Duration // one-way network delay between caller and entry
	TargetDelay time.Duration // one-way network delay between entry and target
	ConnectTime time.Duration // time to open a connection to a target
	ProbeTime   time.Duration // time that a probe takes at the target
	ServiceTime time.Duration // mean
	Sigma       float64       // standard deviation of the logarithm of the service time
	Backlog     int           // requests that a worker queues before it sheds more
}

func newShape(name string, workers int, caller, probe time.Duration) Shape {
	return Shape{
		Name:        name,
		Workers:     workers,
		Slots:       2,
		Entries:     14,
		CallerDelay: caller,
		TargetDelay: 500 * time.Microsecond,
		ConnectTime: time.Millisecond,
		ProbeTime:   probe,
		ServiceTime: 5 * time.Millisecond,
		Sigma:       1,
		Backlog:     198,
	}
}

// The services of the users' requirements that the experiments use.
var (
	gownCatalogue = newShape("gown-catalogue", 14, time.Millisecond, time.Millisecond)
	paydesk       = newShape("paydesk", 6, 8*time.Millisecond, 6*time.Millisecond)
	shiftboard    = newShape("shiftboard", 15, 8*time.Millisecond, 6*time.Millisecond)
)

// capacity returns the requests per second that all workers can serve.
func (s Shape) capacity() float64 {
	return float64(s.Workers*s.Slots) / s.ServiceTime.Seconds()
}
