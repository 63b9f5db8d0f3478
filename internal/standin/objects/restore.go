package objects

import (
	"maps"
	"slices"
	"strconv"
)

// Copy is the state of the store at one moment.
type Copy struct {
	objects map[string]map[string]Object
	history []event
	at      uint64
	first   uint64
}

// Copy returns the state of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{objects: make(map[string]map[string]Object), history: slices.Clone(s.history), at: s.at, first: s.first}
	for kind, list := range s.objects {
		c.objects[kind] = maps.Clone(list)
	}
	return c
}

// Restore puts the store back to a copy: what was written since is gone, and its
// revisions are given out again.
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

// eraText is what an answer names as the era.
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
