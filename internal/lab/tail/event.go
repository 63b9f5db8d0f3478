package tail

type eventKind uint8

const (
	atEntry eventKind = iota // a request reaches its entry
	atTarget
	finished
	answered
	ticked
	faultOn
	faultOff
	listRead
	periodic
)

// event is one point of virtual time, in nanoseconds since the start.
type event struct {
	at    int64
	seq   uint64
	kind  eventKind
	where int32 // entry, worker or fault
	job   job
}

// Before orders by time, then by order of scheduling.
func (e event) Before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// job is one try of a request, or a probe, at a worker.
type job struct {
	request int32 // index; -1 for a probe
	try     int32
	entry   int32
	worker  int32
	finish  int64
	end     end
}
