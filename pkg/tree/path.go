package tree

import (
	"regexp"
	"strings"
)

// maxDepth is how many names a path may have.
const maxDepth = 8

var pathForm = regexp.MustCompile(`^(/|(/[a-z0-9][a-z0-9.-]{0,62}){1,8})$`)

// Name returns the last part of a path, by which callers and VMs name a
// service or place.
func Name(path string) string {
	return path[strings.LastIndexByte(path, '/')+1:]
}

// enclosing returns the path above another one; that of the root is empty.
func enclosing(path string) string {
	if path == Root {
		return ""
	}
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return Root
	}
	return path[:i]
}

// parentOf returns the path that a node inherits from, empty for the root.
func parentOf(path string, n Node) string {
	if n.Parent != "" && path != Root {
		return n.Parent
	}
	return enclosing(path)
}

// chain returns the paths from a node up to the root. It is not whole when a
// parent is missing or the chain meets itself.
func (d Document) chain(path string) (paths []string, whole bool) {
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
