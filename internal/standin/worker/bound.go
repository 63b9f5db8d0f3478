package worker

// Bound has it run no more requests at a time than it has slots. Queue more may wait.
func (w *Worker) Bound(queue int) {
	w.set(func() {
		w.Queue = queue
		w.slots, w.free = make(chan struct{}, w.Slots), make(chan struct{}, w.Slots+queue)
	})
}

// enter takes a place among the requests that run or wait, where they are bounded.
func (w *Worker) enter() bool {
	if w.free == nil {
		return true
	}
	select {
	case w.free <- struct{}{}:
		return true
	default:
		return false
	}
}

// begin waits for a slot and returns what frees it.
func (w *Worker) begin() (end func()) {
	if w.free == nil {
		return func() {}
	}
	w.slots <- struct{}{}
	return func() {
		<-w.slots
		<-w.free
	}
}
