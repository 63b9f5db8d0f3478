package tail

import (
	"time"

	"plumpitch.example/plumpitch/pkg/pool/heap"
)

// instant orders slots by when they come free.
type instant struct {
	at   int64
	slot int
}

// Before orders by time, then by slot.
func (i instant) Before(o instant) bool {
	if i.at != o.at {
		return i.at < o.at
	}
	return i.slot < o.slot
}

// mark runs the omniscient queue: one queue that stands at the targets, knows
// when each slot is free and which target is slow or stalled, and has the same
// one-way delays. No entry can know as much; it is the mark to approach.
func mark(sc scenario) *stats {
	s := &site{sc: sc, stat: newStats(sc.shape.Workers)}
	s.draw()
	var free heap.Heap[instant]
	for i := range sc.shape.Workers * sc.shape.Slots {
		free.Push(instant{slot: i})
	}
	way := int64(sc.shape.Target)
	for _, r := range s.requests {
		s.stat.offered++
		now := r.at + way
		slot := takeSlot(&free, sc, now)
		begin := max(now, slot.at)
		end := stalled(sc, slot.slot/sc.shape.Slots, begin, begin+int64(r.demand))
		s.stat.answer(end+way-r.at+2*int64(sc.shape.Caller), r.write)
		s.stat.ended = max(s.stat.ended, end+way)
		free.Push(instant{at: end, slot: slot.slot})
	}
	s.stat.tries = s.stat.offered
	return s.stat
}

// takeSlot takes the slot that is free first among those of no impaired worker.
func takeSlot(free *heap.Heap[instant], sc scenario, now int64) instant {
	var aside []instant
	defer func() {
		for _, a := range aside {
			free.Push(a)
		}
	}()
	for free.Len() > 1 {
		slot := free.Pop()
		begin := time.Duration(max(now, slot.at))
		if !impaired(sc, slot.slot/sc.shape.Slots, begin) {
			return slot
		}
		aside = append(aside, slot)
	}
	return free.Pop()
}

func impaired(sc scenario, worker int, at time.Duration) bool {
	for _, f := range sc.faults {
		if f.worker == worker && at >= f.from && at < f.to {
			return true
		}
	}
	return false
}

// stalled moves the end of a request that a stall meets while it runs.
func stalled(sc scenario, worker int, begin, end int64) int64 {
	for _, f := range sc.faults {
		if f.kind == stall && f.worker == worker && begin < int64(f.from) && end > int64(f.from) {
			end += int64(f.to - f.from)
		}
	}
	return end
}
