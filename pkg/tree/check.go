package tree

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Check validates a document and returns the problems found, nil for a valid one.
// The rules on inherited values are checked only if there is no other problem,
// because a service inherits values only in a valid tree.
func (d Document) Check() Problems {
	var found Problems
	if n, ok := d.Nodes[Root]; !ok || n.Kind != RootKind {
		found = append(found, Problem{Path: Root, Found: "no root", Expected: "a node / of kind root"})
	}
	for _, path := range d.paths() {
		found = append(found, d.checkNode(path)...)
	}
	found = append(found, d.checkUniqueNames()...)
	if len(found) == 0 {
		found = append(d.checkServices(), d.checkKeys()...)
	}
	return found.sorted()
}

// paths returns the sorted paths of all nodes.
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
	if !pathPattern.MatchString(path) {
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
	return k == GroupKind || k == ServiceKind || k == PlaceKind || k == AccountKind
}

func expectedKind(path string) string {
	if path == Root {
		return "root"
	}
	return "group, service, place or account"
}

func (d Document) checkParent(path string, n Node) Problems {
	if path == Root {
		return nil
	}
	parentPath := parentOf(path, n)
	parent, ok := d.Nodes[parentPath]
	if !ok {
		return Problems{{Path: path, Field: "parent", Found: "missing parent " + parentPath, Expected: "a node " + parentPath + " in the tree"}}
	}
	if parent.Kind != GroupKind && parent.Kind != RootKind {
		return Problems{{
			Path: path, Field: "parent", Found: string(parent.Kind) + " " + parentPath,
			Expected: "a parent of kind group or root",
		}}
	}
	if cycle := d.cycle(path); cycle != "" {
		return Problems{{Path: path, Field: "parent", Found: "cycle " + cycle, Expected: "parents that lead to /"}}
	}
	return nil
}

// cycle describes the chain of parents through which a node inherits from itself.
// It returns an empty string for a node that is not part of a cycle.
func (d Document) cycle(path string) string {
	chain, complete := d.chainToRoot(path)
	if complete {
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
		return unknownFieldProblem(name)
	}
	if !slices.Contains(f.Kinds, k) {
		return &Problem{Field: name, Found: "a node of kind " + string(k), Expected: "it at " + joinKinds(f.Kinds)}
	}
	_, p := f.Canonicalize(text)
	return p
}

func joinKinds(kinds []Kind) string {
	texts := make([]string, len(kinds))
	for i, k := range kinds {
		texts[i] = string(k)
	}
	return strings.Join(texts, ", ")
}

// checkUniqueNames reports services, places and accounts that share a name with another
// of their kind. Callers, VMs and targets refer to them by name, without the path.
func (d Document) checkUniqueNames() Problems {
	var found Problems
	firstPaths := map[string]string{} // keyed by kind and name
	for _, path := range d.paths() {
		k := d.Nodes[path].Kind
		if k != ServiceKind && k != PlaceKind && k != AccountKind {
			continue
		}
		kindAndName := string(k) + " " + Name(path)
		if other, ok := firstPaths[kindAndName]; ok {
			found = append(found, Problem{
				Path: path, Found: fmt.Sprintf("a second %s, after %s", kindAndName, other), Expected: "names that differ",
			})
			continue
		}
		firstPaths[kindAndName] = path
	}
	return found
}

// checkServices checks the rules that depend on the inherited values of services.
func (d Document) checkServices() Problems {
	var found Problems
	placeNames := []string{}
	for _, place := range d.Places() {
		placeNames = append(placeNames, place.Name)
	}
	for _, s := range d.Services() {
		for _, name := range s.Policy.Places {
			if !slices.Contains(placeNames, name) {
				found = append(found, Problem{
					Path: s.Path, Field: "places", Found: "unknown place " + quote(name),
					Expected: "the name of a place in the tree", Hint: closestName(name, placeNames),
				})
			}
		}
		if s.Policy.DrainHold < s.Policy.LocateTTL {
			found = append(found, Problem{
				Path: s.Path, Field: "drainhold", Found: formatDuration(s.Policy.DrainHold),
				Expected: "at least locatettl, " + formatDuration(s.Policy.LocateTTL),
			})
		}
	}
	return found
}

// checkKeys reports keys that several accounts hold.
func (d Document) checkKeys() Problems {
	var found Problems
	holders := map[string]string{} // paths, keyed by digest
	for _, path := range d.paths() {
		if d.Nodes[path].Kind != AccountKind {
			continue
		}
		for _, digest := range splitList(d.Nodes[path].Values["keys"]) {
			if other, ok := holders[digest]; ok {
				found = append(found, Problem{
					Path: path, Field: "keys", Found: "a key that " + other + " holds too", Expected: "keys that differ",
				})
				break
			}
			holders[digest] = path
		}
	}
	return found
}
