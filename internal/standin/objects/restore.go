package objects

import (
	"maps"
	"slices"
	"strconv"
)

// Snapshot is a copy of the store's state.
type Copy struct {
	objects map[string]map[string]Object
	history []event
	at      uint64
	first   uint64
}

// Snapshot returns a copy of the store's state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{objects: make(map[string]map[string]Object), history: slices.Clone(s.history), at: s.at, first: s.first}
	for kind, list := range s.objects {
		c.objects[kind] = maps.Clone(list)
	}
	return c
}

// Restore restores the store from a snapshot. Later writes are lost, and their
// revisions are assigned again to other writes.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]map[string]Object)
	for kind, list := range c.objects {
		s.objects[kind] = maps.Clone(list)
	}
	s.history, s.at, s.first = slices.Clone(c.history), c.at, c.first
	s.era++
	s.wake()
}

// eraHeader returns the value of the Store-Era header, or an empty string to omit it.
func (s *Store) eraText(f Fault) string {
	switch f.Era {
	case "":
		s.mu.Lock()
		defer s.mu.Unlock()
		return strconv.FormatUint(s.era, 10)
	case "-":
		return ""
	}
	return f.Era
}
