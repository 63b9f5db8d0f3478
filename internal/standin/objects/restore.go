package objects

import (
	"maps"
	"slices"
	"strconv"
)

// Snapshot is a copy of the store's state.
type Snapshot struct {
	objects        map[string]map[string]Object
	history        []event
	revision       uint64
	oldestRevision uint64
}

// Snapshot returns a copy of the store's state.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Snapshot{objects: make(map[string]map[string]Object), history: slices.Clone(s.history), revision: s.revision, oldestRevision: s.oldestRevision}
	for kind, list := range s.objects {
		c.objects[kind] = maps.Clone(list)
	}
	return c
}

// Restore restores the store from a snapshot. Later writes are lost, and their
// revisions are assigned again to other writes.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]map[string]Object)
	for kind, list := range c.objects {
		s.objects[kind] = maps.Clone(list)
	}
	s.history, s.revision, s.oldestRevision = slices.Clone(c.history), c.revision, c.oldestRevision
	s.era++
	s.notifyWatches()
}

// eraHeader returns the value of the Store-Era header, or an empty string to omit it.
func (s *Store) eraHeader(f Fault) string {
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
