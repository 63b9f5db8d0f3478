package quota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Senders is one entry's view of the entries that send to a service.
type Senders struct {
	self   uint64 // hash of this entry's name
	sends  bool
	others []uint64
}

// NewSenders returns the view of the entry self, with the names of all senders.
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

// Hash returns the hash of the name of an entry or a target.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Len returns the number of senders.
func (s Senders) Len() int {
	if s.sends {
		return len(s.others) + 1
	}
	return len(s.others)
}

// IsHolder reports whether this entry is one of the given number of holders of the target
// with this hash.
func (s Senders) IsHolder(target uint64, holders int) bool {
	if !s.sends {
		return false
	}
	own, higher := weight(s.self, target), 0
	for _, o := range s.others {
		if weight(o, target) > own {
			higher++
		}
	}
	return higher < holders
}

func weight(entry, target uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], entry)
	binary.LittleEndian.PutUint64(b[8:], target)
	return xxhash.Sum64(b[:])
}
