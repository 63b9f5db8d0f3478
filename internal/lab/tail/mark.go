package tail

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// slotRelease is the time at which a slot becomes free.
type instant struct {
	at   int64 // nanoseconds of virtual time
	slot int   // the slots of a worker have consecutive numbers
}

// Before orders releases by time, then by slot.
func (i instant) Before(o instant) bool {
	if i.at != o.at {
		return i.at < o.at
	}
	return i.slot < o.slot
}

// runOmniscient simulates the omniscient queue: one queue at the targets that knows
// when each slot becomes free and which targets have a fault. The one-way network
// delays are those of the other runs. No entry can have this knowledge, so the
// result is the reference that the policies approach.
func mark(sc scenario) *stats {
	s := &site{sc: sc, stat: newStats(sc.shape.Workers)}
	s.draw()
	var free heap.Heap[instant]
	for i := range sc.shape.Workers * sc.shape.Slots {
		free.Push(instant{slot: i})
	}
	delay := int64(sc.shape.Target)
	for _, r := range s.requests {
		s.stat.offered++
		now := r.at + delay
		slot := takeSlot(&free, sc, now)
		begin := max(now, slot.at)
		end := stalled(sc, slot.slot/sc.shape.Slots, begin, begin+int64(r.demand))
		s.stat.answer(end+delay-r.at+2*int64(sc.shape.Caller), r.write)
		s.stat.ended = max(s.stat.ended, end+delay)
		free.Push(instant{at: end, slot: slot.slot})
	}
	s.stat.tries = s.stat.offered
	return s.stat
}

// takeEarliestSlot removes and returns the slot that becomes free first, other than
// those of impaired workers. The last slot left is taken in any case.
func takeSlot(free *heap.Heap[instant], sc scenario, now int64) instant {
	var skipped []instant
	defer func() {
		for _, a := range skipped {
			free.Push(a)
		}
	}()
	for free.Len() > 1 {
		slot := free.Pop()
		begin := time.Duration(max(now, slot.at))
		if !impaired(sc, slot.slot/sc.shape.Slots, begin) {
			return slot
		}
		skipped = append(skipped, slot)
	}
	return free.Pop()
}

// impaired reports whether the worker has a fault at the given time.
func impaired(sc scenario, worker int, at time.Duration) bool {
	for _, f := range sc.faults {
		if f.worker == worker && at >= f.from && at < f.to {
			return true
		}
	}
	return false
}

// addStalls delays the end of a request by the length of each stall that starts
// while the request runs.
func stalled(sc scenario, worker int, begin, end int64) int64 {
	for _, f := range sc.faults {
		if f.kind == stall && f.worker == worker && begin < int64(f.from) && end > int64(f.from) {
			end += int64(f.to - f.from)
		}
	}
	return end
}
