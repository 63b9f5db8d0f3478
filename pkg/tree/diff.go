package tree

import (
	"maps"
	"slices"
	"time"
)

// Diff returns the changes that turn the nodes of d into those of other, and none if
// they are equal. It doesn't compare revisions and logs of edits.
func (d Document) Diff(other Document) []Change {
	var structure, values, removed []Change
	for _, path := range other.paths() {
		n, old := other.Nodes[path], d.Nodes[path]
		if old.Kind != n.Kind {
			if old.Kind != "" {
				structure = append(structure, Change{Op: Remove, Path: path})
			}
			structure = append(structure, Change{Op: Create, Path: path, Kind: n.Kind, Parent: n.Parent})
			old = Node{Kind: n.Kind, Parent: n.Parent}
		}
		if old.Parent != n.Parent {
			structure = append(structure, Change{Op: Move, Path: path, Parent: n.Parent})
		}
		values = append(values, diffValues(path, old.Values, n.Values)...)
	}
	for _, path := range d.paths() {
		if _, ok := other.Nodes[path]; !ok {
			removed = append(removed, Change{Op: Remove, Path: path})
		}
	}
	return slices.Concat(structure, values, removed)
}

func diffValues(path string, old, values map[string]string) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if oldValue, ok := old[name]; !ok || oldValue != values[name] {
			changes = append(changes, Change{Op: Set, Path: path, Field: name, Value: values[name]})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, ok := values[name]; !ok {
			changes = append(changes, Change{Op: Unset, Path: path, Field: name})
		}
	}
	return changes
}

// Seed returns a document of revision 1 with the nodes of a parsed file. It
// initializes a store that holds no document.
func Seed(file Document, now time.Time) (Document, error) {
	d := New()
	initial := Edit{ID: "seed", Author: "seed", Changes: d.Diff(file)}
	seeded, _, err := d.Apply(initial, now)
	return seeded, err
}
