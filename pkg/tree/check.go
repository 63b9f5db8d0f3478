package tree

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Check returns all faults of a document, nil when it has none.
func (d Document) Check() Problems {
	var found Problems
	if n, ok := d.Nodes[Root]; !ok || n.Kind != RootKind {
		found = append(found, Problem{Path: Root, Found: "no root", Expected: "a node / of kind root"})
	}
	for _, path := range d.paths() {
		found = append(found, d.checkNode(path)...)
	}
	found = append(found, d.checkNames()...)
	if len(found) == 0 {
		found = d.checkServices()
	}
	return found.sorted()
}

func (d Document) paths() []string {
	paths := make([]string, 0, len(d.Nodes))
	for path := range d.Nodes {
		paths = append(paths, path)
	}
	sort.Strings(paths)
	return paths
}

func (d Document) checkNode(path string) Problems {
	n := d.Nodes[path]
	var found Problems
	if !pathForm.MatchString(path) {
		found = append(found, Problem{
			Path: path, Found: "path " + quote(path),
			Expected: "lower-case names after slashes, such as /swanbourne/deposit-ledger",
		})
	}
	if !validKind(path, n.Kind) {
		found = append(found, Problem{
			Path: path, Field: "kind", Found: quote(string(n.Kind)), Expected: expectedKind(path),
		})
	}
	found = append(found, d.checkParent(path, n)...)
	for name, text := range n.Values {
		if p := checkValue(n.Kind, name, text); p != nil {
			p.Path = path
			found = append(found, *p)
		}
	}
	return found
}

func validKind(path string, k Kind) bool {
	if path == Root {
		return k == RootKind
	}
	return k == GroupKind || k == ServiceKind || k == PlaceKind
}

func expectedKind(path string) string {
	if path == Root {
		return "root"
	}
	return "group, service or place"
}

func (d Document) checkParent(path string, n Node) Problems {
	if path == Root {
		return nil
	}
	up := parentOf(path, n)
	parent, ok := d.Nodes[up]
	if !ok {
		return Problems{{Path: path, Field: "parent", Found: "missing parent " + up, Expected: "a node " + up + " in the tree"}}
	}
	if parent.Kind == ServiceKind || parent.Kind == PlaceKind {
		return Problems{{
			Path: path, Field: "parent", Found: string(parent.Kind) + " " + up,
			Expected: "a parent of kind group or root",
		}}
	}
	if loop := d.cycle(path); loop != "" {
		return Problems{{Path: path, Field: "parent", Found: "cycle " + loop, Expected: "parents that lead to /"}}
	}
	return nil
}

// cycle returns the parents by which a node inherits from itself, or nothing.
func (d Document) cycle(path string) string {
	chain, whole := d.chain(path)
	if whole {
		return ""
	}
	last := chain[len(chain)-1]
	if parentOf(last, d.Nodes[last]) != path {
		return ""
	}
	return strings.Join(append(chain, path), " -> ")
}

func checkValue(k Kind, name, text string) *Problem {
	f, ok := Lookup(name)
	if !ok {
		return unknownField(name)
	}
	if !slices.Contains(f.Levels, k) {
		return &Problem{Field: name, Found: "a node of kind " + string(k), Expected: "it at " + joinKinds(f.Levels)}
	}
	_, p := f.Canon(text)
	return p
}

func joinKinds(kinds []Kind) string {
	texts := make([]string, len(kinds))
	for i, k := range kinds {
		texts[i] = string(k)
	}
	return strings.Join(texts, ", ")
}

// checkNames finds two services or two places of one name: callers and VMs use
// the name alone.
func (d Document) checkNames() Problems {
	var found Problems
	first := map[string]string{}
	for _, path := range d.paths() {
		k := d.Nodes[path].Kind
		if k != ServiceKind && k != PlaceKind {
			continue
		}
		id := string(k) + " " + Name(path)
		if other, ok := first[id]; ok {
			found = append(found, Problem{
				Path: path, Found: fmt.Sprintf("a second %s, after %s", id, other), Expected: "names that differ",
			})
			continue
		}
		first[id] = path
	}
	return found
}

// checkServices checks what only the values in effect can show.
func (d Document) checkServices() Problems {
	var found Problems
	known := []string{}
	for _, l := range d.Places() {
		known = append(known, l.Name)
	}
	for _, s := range d.Services() {
		for _, name := range s.Policy.Places {
			if !slices.Contains(known, name) {
				found = append(found, Problem{
					Path: s.Path, Field: "places", Found: "unknown place " + quote(name),
					Expected: "the name of a place in the tree", Hint: nearest(name, known),
				})
			}
		}
		if s.Policy.DrainHold < s.Policy.LocateTTL {
			found = append(found, Problem{
				Path: s.Path, Field: "drainhold", Found: formatSpan(s.Policy.DrainHold),
				Expected: "at least locatettl, " + formatSpan(s.Policy.LocateTTL),
			})
		}
	}
	return found
}
