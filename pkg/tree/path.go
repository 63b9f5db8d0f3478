package tree

import (
	"regexp"
	"strings"
)

// maxDepth is the maximum number of names in a path. pathPattern has the same limit.
const maxDepth = 8

var pathPattern = regexp.MustCompile(`^(/|(/[a-z0-9][a-z0-9.-]{0,62}){1,8})$`)

// Name returns the last name of a path. Callers and VMs refer to a service or place
// by this name.
func Name(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// enclosingPath returns the path without its last name, empty for the root.
func enclosingPath(path string) string {
	if path == Root {
		return ""
	}
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return Root
	}
	return path[:i]
}

// parentOf returns the path of the node that n inherits from, empty for the root.
func parentOf(path string, n Node) string {
	if n.Parent != "" && path != Root {
		return n.Parent
	}
	return enclosingPath(path)
}

// chainToRoot returns the paths from a node up to the root. The chain is incomplete
// if a parent is missing or the parents form a cycle.
func (d Document) chainToRoot(path string) (paths []string, complete bool) {
	seen := map[string]bool{}
	for path != "" {
		n, ok := d.Nodes[path]
		if !ok || seen[path] {
			return paths, false
		}
		seen[path] = true
		paths = append(paths, path)
		path = parentOf(path, n)
	}
	return paths, true
}
