package tree

import (
	"maps"
	"slices"
	"time"
)

// Diff returns the changes that lead from d to the nodes of other. It is empty
// when they agree; revisions and logs aren't compared.
func (d Document) Diff(other Document) []Change {
	var made, set, gone []Change
	for _, path := range other.paths() {
		n, old := other.Nodes[path], d.Nodes[path]
		if old.Kind != n.Kind {
			if old.Kind != "" {
				made = append(made, Change{Op: Remove, Path: path})
			}
			made = append(made, Change{Op: Create, Path: path, Kind: n.Kind, Parent: n.Parent})
			old = Node{Kind: n.Kind, Parent: n.Parent}
		}
		if old.Parent != n.Parent {
			made = append(made, Change{Op: Move, Path: path, Parent: n.Parent})
		}
		set = append(set, diffValues(path, old.Values, n.Values)...)
	}
	for _, path := range d.paths() {
		if _, ok := other.Nodes[path]; !ok {
			gone = append(gone, Change{Op: Remove, Path: path})
		}
	}
	return slices.Concat(made, set, gone)
}

func diffValues(path string, old, values map[string]string) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if was, ok := old[name]; !ok || was != values[name] {
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

// Seed returns a document of revision 1 with the nodes of a parsed file, for a
// store that holds none.
func Seed(file Document, now time.Time) (Document, error) {
	d := New()
	first := Edit{ID: "seed", Author: "seed", Changes: d.Diff(file)}
	seeded, _, err := d.Apply(first, now)
	return seeded, err
}
