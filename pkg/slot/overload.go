package slot

import (
	"slices"
	"time"
)

// overload is the state of overload control. A balancer has it while it is required, or while
// it gets requests with accounts; otherwise requests are queued as they always were.
type overload struct {
	fair        fairQueue
	stale       staleLoad
	shedding    shedding
	drains      map[string]*drainRate // by the regions of requests
	nextReturn  time.Time             // when the caller that was refused last was told to return
	lastAccount time.Time             // arrival of the last request with an account
}

const (
	// overloadRetention is the time without requests with accounts after which overload
	// control ends.
	overloadRetention = 10 * time.Second
	// queueProbers is the number of queued requests that are probed for again: those that
	// could be dispatched next. The probes of one name several targets.
	queueProbers = 3
	// queueTries is the number of queued requests for which no acceptable target is found
	// before the others of the queue are left for later.
	queueTries = 6
	// minQueued is the number of requests that may be queued whatever the estimate of their
	// wait. Without a queue nothing would measure how fast it is served.
	minQueued = 4
	// maxQueued and maxQueueWait bound the queue, also if objectives are far away.
	maxQueued    = 512
	maxQueueWait = time.Second
)

// SetOverloadControl sets whether overload control is required, whatever requests arrive.
// Otherwise it begins with the first request that has an account, and ends with an empty queue
// some time after the last one.
func (b *Balancer) SetOverloadControl(now time.Time, required bool) {
	b.overloadRequired = required
	if required {
		b.startOverloadControl(now)
	}
}

// OverloadControl reports whether overload control is on.
func (b *Balancer) OverloadControl() bool { return b.overload != nil }

// startOverloadControl begins overload control unless it is on. Requests that are already
// queued are ordered and probed for by its rules from now on.
func (b *Balancer) startOverloadControl(now time.Time) {
	if b.overload != nil {
		return
	}
	b.overload = &overload{fair: newFairQueue(), drains: make(map[string]*drainRate)}
	if len(b.queue) > 0 {
		b.measureQueue(now)
		b.overload.fair.rank(now, b.queue)
		b.markNext()
	}
}

// noteAccount begins or ends overload control as a request arrives, by whether it has an account.
func (b *Balancer) noteAccount(now time.Time, r Request) {
	if r.Account != "" {
		b.startOverloadControl(now)
		b.overload.lastAccount = now
		return
	}
	if b.overload != nil && !b.overloadRequired && len(b.queue) == 0 && now.Sub(b.overload.lastAccount) > overloadRetention {
		b.overload = nil
	}
}

// submitFair handles the arrival of a request under overload control.
func (b *Balancer) submitFair(now time.Time, p *pendingRequest, out []Action) []Action {
	free := len(b.queue) == 0 && b.anyUsable(now, p)
	switch {
	case free:
		return b.probe(now, p, out)
	case p.Hedge:
		return b.refuse(p, Full, 0, out)
	case now.Add(p.serviceTime).After(p.Objective):
		return b.refuse(p, Full, b.returnDelay(now, p), out)
	}
	return b.enqueue(now, p, out)
}

// enqueueFair adds p to the queue and refuses the requests that it leaves no room for. A
// request without room in its account's flow may still have room in the shared flow.
func (b *Balancer) enqueueFair(now time.Time, p *pendingRequest, out []Action) []Action {
	b.measureQueue(now)
	b.queue = append(b.queue, p)
	b.measureQueue(now)
	b.overload.fair.rank(now, b.queue)
	excess := b.excess(now)
	if slices.Contains(excess, p) {
		p.shared = true
		b.overload.fair.rank(now, b.queue)
		excess = b.excess(now)
	}
	for _, q := range excess {
		out = b.refuse(q, Full, b.returnDelay(now, q), out)
	}
	out = b.refuseThrottled(now, out)
	b.markNext()
	b.measureQueue(now)
	return out
}

// excess returns the queued requests that can't be served in time because of the work ahead
// of them.
func (b *Balancer) excess(now time.Time) (list []*pendingRequest) {
	for _, d := range b.overload.drains {
		d.ahead, d.count = 0, 0
	}
	for _, p := range b.queue {
		wait := time.Duration(p.drain.ahead / b.drainRate(now, p) * float64(time.Second))
		tooLate := now.Add(wait + p.serviceTime).After(p.Objective)
		if len(b.queue)-len(list) > maxQueued && p == b.queue[len(b.queue)-1] || p.drain.count >= minQueued && (tooLate || wait > maxQueueWait) {
			list = append(list, p)
			continue
		}
		p.drain.ahead += p.serviceTime.Seconds()
		p.drain.count++
	}
	return list
}

// serveQueueFair dispatches queued requests in the order of their rank.
func (b *Balancer) serveQueueFair(now time.Time, out []Action) []Action {
	b.measureQueue(now)
	b.overload.fair.rank(now, b.queue)
	for _, d := range b.overload.drains {
		d.count = 0
	}
	for _, p := range slices.Clone(b.queue) {
		if p.outstanding > 0 || !p.queued {
			continue
		}
		if p.drain.count < queueTries {
			actions, sent := b.tryDispatch(now, p, out)
			if sent {
				out = actions
				continue
			}
			p.drain.count++ // failed tries
		}
		if !now.Add(p.serviceTime).Before(p.Objective) {
			out = b.waitOrRefuse(now, p, out)
		}
	}
	out = b.refuseThrottled(now, out)
	b.markNext()
	b.measureQueue(now)
	return out
}

// markNext marks the first requests of the queue, for each set of regions: those with other
// regions wait for other targets.
func (b *Balancer) markNext() {
	for _, d := range b.overload.drains {
		d.count = 0
	}
	for _, p := range b.queue {
		p.next = p.drain.count < queueProbers
		p.drain.count++
	}
}

// probedAgain reports whether a queued request is probed for again.
func (b *Balancer) probedAgain(p *pendingRequest) bool { return b.overload == nil || p.next }

// recordFairDispatch charges a request to its account as it is dispatched.
func (b *Balancer) recordFairDispatch(now time.Time, p *pendingRequest) {
	o := b.overload
	if o == nil {
		return
	}
	if len(b.queue) == 0 {
		o.fair.idle()
		return
	}
	b.measureQueue(now)
	o.fair.dispatched(p)
	if d := o.drains[p.region]; d != nil {
		d.dispatched(p.serviceTime)
	}
}

// refusalDelay returns the time after which a caller whose request is refused should return.
func (b *Balancer) refusalDelay(now time.Time, p *pendingRequest) time.Duration {
	switch {
	case b.overload == nil:
		return b.retryDelay(p.serviceTime)
	case b.returnsAtOnce(now, p):
		return minRetryDelay
	}
	return b.returnDelay(now, p)
}
