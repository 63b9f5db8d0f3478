package tail

type eventKind uint8

const (
	entryArrival    eventKind = iota // a request arrives at its entry
	workerArrival                    // a dispatch or a probe arrives at a worker
	jobFinished                      // a worker completes a job
	responseArrival                  // a response arrives at an entry
	tickDue                          // the tick that a balancer asked for is due
	faultStart
	faultEnd
	targetListRead // an entry reads the target list
	periodicProbes // an entry probes all workers
)

// event is something that happens at one point of virtual time.
type event struct {
	at    int64  // nanoseconds since the start of the run
	seq   uint64 // order of scheduling
	kind  eventKind
	index int32 // of the entry, worker or fault
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
	request       int32 // index in simulator.requests; -1 for a probe
	dispatchIndex int32 // 0 for the first dispatch of the request
	entry         int32
	worker        int32
	finishAt      int64 // virtual time, in nanoseconds
	result        result
}
