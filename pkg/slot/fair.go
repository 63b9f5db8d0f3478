package slot

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// flowKey identifies the requests that share a flow of the queue.
type flowKey struct {
	account  string
	priority int
	shared   bool // the flow of requests for which their accounts' flows had no room
}

// flow is the state of a flow. Work is measured in baseline service time.
type flow struct {
	key    flowKey
	finish float64 // virtual finish time of the last request that was dispatched, in seconds of work
	queued int
	// end and share are used while requests are ranked.
	end, share float64
}

// fairQueue orders requests by weighted fair queueing of accounts. A request's tag is the
// virtual time at which it would begin if each flow were served at a rate in proportion to its
// weight. By the times at which they would be finished, an account with few requests and a low
// weight would wait past its objectives, although it uses less than its part.
type fairQueue struct {
	flows   map[flowKey]*flow
	virtual float64 // virtual start time of the last request that was dispatched
}

const (
	// maxFlows bounds the flows without queued requests that are kept.
	maxFlows = 1024
	// sharedPart is the part of the work that is left to requests for which their own
	// accounts' flows have no room. Requests find room there in proportion to their number. A
	// quarter would let an account that offers many times its fair share be served a quarter
	// as often as all; the rest is a margin for unequal work.
	sharedPart = 1.0 / 3
	// maxPriorityHalvings bounds the steps of priority that reduce the weight.
	maxPriorityHalvings = 16
)

func newFairQueue() fairQueue { return fairQueue{flows: make(map[flowKey]*flow)} }

func (k flowKey) weight() float64 {
	return math.Pow(0.5, float64(min(max(k.priority, 0), maxPriorityHalvings)))
}

// flowFor returns the flow of a request, which begins now if it was idle.
func (q *fairQueue) flowFor(p *pendingRequest) *flow {
	k := flowKey{account: p.Account, priority: p.Priority}
	if p.shared {
		k = flowKey{shared: true}
	}
	f := q.flows[k]
	if f == nil {
		q.expire()
		f = &flow{key: k}
		q.flows[k] = f
	}
	return f
}

// expire drops idle flows, and flows with a future finish time too if there are too many.
func (q *fairQueue) expire() {
	for k, f := range q.flows {
		if f.queued == 0 && (f.finish <= q.virtual || len(q.flows) >= maxFlows) {
			delete(q.flows, k)
		}
	}
}

// weight returns the weight of a flow. The shared flow gets sharedPart of the work beside
// all other flows in use.
func (q *fairQueue) weight(f *flow) float64 {
	if !f.key.shared {
		return f.key.weight()
	}
	sum := 0.0
	for k, g := range q.flows {
		if !k.shared && (g.queued > 0 || g.finish > q.virtual) {
			sum += k.weight()
		}
	}
	return max(sum, f.key.weight()) * sharedPart / (1 - sharedPart)
}

// dispatched charges a request to its flow. The virtual time goes on.
func (q *fairQueue) dispatched(p *pendingRequest) {
	f := q.flowFor(p)
	begin := max(f.finish, q.virtual)
	f.finish = begin + p.serviceTime.Seconds()/q.weight(f)
	q.virtual = max(q.virtual, begin)
}

// idle forgets all flows: the queue is empty, and no flow has to wait for another.
func (q *fairQueue) idle() {
	clear(q.flows)
	q.virtual = 0
}

// rank orders the list by tag. Within a flow, requests that can still meet their objective
// come first, then those with the earliest objective.
func (q *fairQueue) rank(now time.Time, list []*pendingRequest) {
	for _, f := range q.flows {
		f.queued = 0
	}
	for _, p := range list {
		p.late = now.Add(p.serviceTime).After(p.Objective)
		p.flow = q.flowFor(p)
		p.flow.queued++
	}
	for _, f := range q.flows {
		f.end, f.share = max(f.finish, q.virtual), q.weight(f)
	}
	slices.SortFunc(list, compareInFlow)
	for _, p := range list {
		p.tag = p.flow.end
		p.flow.end += p.serviceTime.Seconds() / p.flow.share
	}
	slices.SortStableFunc(list, func(x, y *pendingRequest) int {
		return cmp.Or(cmp.Compare(x.tag, y.tag), cmp.Compare(x.Priority, y.Priority))
	})
}

func compareInFlow(x, y *pendingRequest) int {
	late := func(p *pendingRequest) int {
		if p.late {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(late(x), late(y)), x.Objective.Compare(y.Objective), cmp.Compare(x.ID, y.ID))
}
