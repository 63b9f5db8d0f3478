package tail

type eventKind uint8

const (
	atEntry  eventKind = iota // a request arrives at its entry
	atTarget                  // a dispatch or a probe arrives at a worker
	finished                  // a worker completes a job
	answered                  // a response arrives at an entry
	ticked                    // the tick that a balancer asked for is due
	faultOn
	faultOff
	listRead // an entry reads the target list
	periodic // an entry probes all workers
)

// event is something that happens at one point of virtual time.
type event struct {
	at    int64  // nanoseconds since the start of the run
	seq   uint64 // order of scheduling
	kind  eventKind
	where int32 // of the entry, worker or fault
	job   job
}

// Before orders events by time, then by order of scheduling.
func (e event) Before(o event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	return e.seq < o.seq
}

// job is one dispatch of a request, or one probe, at a worker.
type job struct {
	request int32 // index in simulator.requests; -1 for a probe
	try     int32 // 0 for the first dispatch of the request
	entry   int32
	worker  int32
	finish  int64 // virtual time, in nanoseconds
	end     end
}
