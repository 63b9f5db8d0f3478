package quota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Senders are the entries that send to a service, as one of them sees it.
type Senders struct {
	self   uint64 // hash of its name, where it is one of them
	sends  bool
	others []uint64
}

// NewSenders returns the view of the entry self of the entries with these names.
func NewSenders(names []string, self string) Senders {
	s := Senders{self: Hash(self)}
	for _, n := range names {
		if n == self {
			s.sends = true
		} else {
			s.others = append(s.others, Hash(n))
		}
	}
	return s
}

// Hash is that of a name of an entry or a target.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Len is the number of entries that send.
func (s Senders) Len() int {
	if s.sends {
		return len(s.others) + 1
	}
	return len(s.others)
}

// Holds reports whether the target with that hash is dealt to this entry, where each is
// dealt to that many.
func (s Senders) Holds(target uint64, holders int) bool {
	if !s.sends {
		return false
	}
	own, before := weight(s.self, target), 0
	for _, o := range s.others {
		if weight(o, target) > own {
			before++
		}
	}
	return before < holders
}

func weight(entry, target uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], entry)
	binary.LittleEndian.PutUint64(b[8:], target)
	return xxhash.Sum64(b[:])
}
