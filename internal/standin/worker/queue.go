package worker

// LimitQueue limits the requests that run at once to Slots and the requests that wait
// for a slot to queue. Requests beyond that are refused.
func (w *Worker) LimitQueue(queue int) {
	w.set(func() {
		w.Queue = queue
		w.slots, w.admitted = make(chan struct{}, w.Slots), make(chan struct{}, w.Slots+queue)
	})
}

// admit reports whether a request may run or wait for a slot. Without a limit it is
// always true.
func (w *Worker) admit() bool {
	if w.admitted == nil {
		return true
	}
	select {
	case w.admitted <- struct{}{}:
		return true
	default:
		return false
	}
}

// acquireSlot waits for a slot and returns the function that releases it. Without a
// limit it doesn't wait.
func (w *Worker) acquireSlot() (release func()) {
	if w.admitted == nil {
		return func() {}
	}
	w.slots <- struct{}{}
	return func() {
		<-w.slots
		<-w.admitted
	}
}
