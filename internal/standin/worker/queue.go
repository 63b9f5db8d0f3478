package worker

// LimitQueue sets limits: at most Slots requests run at once, and at most queue requests
// wait for a slot. Requests beyond that are refused.
func (w *Worker) LimitQueue(queue int) {
	w.set(func() {
		w.Queue = queue
		w.slots, w.admitted = make(chan struct{}, w.Slots), make(chan struct{}, w.Slots+queue)
	})
}

// admit takes a place among the requests that run or wait for a slot, and reports
// whether one was free. Without a limit it always returns true.
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

// acquireSlot waits for a slot. It returns the function that releases the slot and the
// place that admit took. Without a limit it doesn't wait.
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
