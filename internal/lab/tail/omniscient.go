package tail

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// slotRelease is the time at which a slot becomes free.
type slotRelease struct {
	freeAt int64 // nanoseconds of virtual time
	slot   int   // the slots of a worker have consecutive numbers
}

// Before orders releases by time, then by slot.
func (i slotRelease) Before(o slotRelease) bool {
	if i.freeAt != o.freeAt {
		return i.freeAt < o.freeAt
	}
	return i.slot < o.slot
}

// runOmniscient simulates the omniscient queue: one queue at the targets that knows
// when each slot becomes free and which targets have a fault. The one-way network
// delays are those of the other runs. No entry can have this knowledge, so the
// result is the reference that the policies approach.
func runOmniscient(sc scenario) *stats {
	s := &simulator{sc: sc, stats: newStats(sc.shape.Workers)}
	s.generateRequests()
	var free heap.Heap[slotRelease]
	for i := range sc.shape.Workers * sc.shape.Slots {
		free.Push(slotRelease{slot: i})
	}
	delay := int64(sc.shape.TargetDelay)
	for _, r := range s.requests {
		s.stats.offered++
		now := r.arrival + delay
		slot := takeEarliestSlot(&free, sc, now)
		begin := max(now, slot.freeAt)
		end := addStalls(sc, slot.slot/sc.shape.Slots, begin, begin+int64(r.serviceTime))
		s.stats.addServed(end+delay-r.arrival+2*int64(sc.shape.CallerDelay), r.write)
		s.stats.lastEnd = max(s.stats.lastEnd, end+delay)
		free.Push(slotRelease{freeAt: end, slot: slot.slot})
	}
	s.stats.dispatches = s.stats.offered
	return s.stats
}

// takeEarliestSlot removes and returns the slot that becomes free first, other than
// those of impaired workers. The last slot left is taken in any case.
func takeEarliestSlot(free *heap.Heap[slotRelease], sc scenario, now int64) slotRelease {
	var skipped []slotRelease
	defer func() {
		for _, a := range skipped {
			free.Push(a)
		}
	}()
	for free.Len() > 1 {
		slot := free.Pop()
		begin := time.Duration(max(now, slot.freeAt))
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
func addStalls(sc scenario, worker int, begin, end int64) int64 {
	for _, f := range sc.faults {
		if f.kind == faultStall && f.worker == worker && begin < int64(f.from) && end > int64(f.from) {
			end += int64(f.to - f.from)
		}
	}
	return end
}
