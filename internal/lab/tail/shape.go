package tail

import "time"

// Shape is the size of one service and its distances, from the brief.
type Shape struct {
	Name    string
	Workers int
	Slots   int           // requests that a worker runs at once
	Entries int           // entries of the site
	Caller  time.Duration // one way between caller and entry
	Target  time.Duration // one way between entry and target
	Connect time.Duration // cost of a new connection
	Probe   time.Duration // target time of one probe
	Service time.Duration // mean service time
	Sigma   float64       // of the logarithm of the service time
	Backlog int           // requests that a worker lets wait before it sheds
}

func shape(name string, workers int, caller, probe time.Duration) Shape {
	return Shape{
		Name:    name,
		Workers: workers,
		Slots:   2,
		Entries: 14,
		Caller:  caller,
		Target:  500 * time.Microsecond,
		Connect: time.Millisecond,
		Probe:   probe,
		Service: 5 * time.Millisecond,
		Sigma:   1,
		Backlog: 198,
	}
}

// The services of the brief that the experiments use.
var (
	gownCatalogue = shape("gown-catalogue", 14, time.Millisecond, time.Millisecond)
	paydesk       = shape("paydesk", 6, 8*time.Millisecond, 6*time.Millisecond)
	shiftboard    = shape("shiftboard", 15, 8*time.Millisecond, 6*time.Millisecond)
)

func (s Shape) capacity() float64 {
	return float64(s.Workers*s.Slots) / s.Service.Seconds()
}
