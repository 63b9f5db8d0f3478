package tree

import (
	"fmt"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Problem is one fault of a settings file or document.
type Problem struct {
	File     string // empty when it is not from a file
	Line     int    // from 1; 0 when unknown
	Path     string // of the node
	Field    string // empty when the node itself is at fault
	Found    string
	Expected string
	Hint     string // a name that may be meant
}

// Error gives file, line, path, what was found and what was expected.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	b.WriteString(strings.TrimSpace(p.Path + " " + p.Field))
	fmt.Fprintf(&b, ": found %s, expected %s", p.Found, p.Expected)
	if p.Hint != "" {
		fmt.Fprintf(&b, "; did you mean %s?", p.Hint)
	}
	return b.String()
}

// Problems is a list of faults, never empty when it is returned as an error.
type Problems []Problem

// Error gives one problem a line.
func (l Problems) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted puts problems into the order of the file, or of the paths.
func (l Problems) sorted() Problems {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Path != b.Path {
			return a.Path < b.Path
		}
		return a.Field < b.Field
	})
	return l
}

// nearest returns the known name that is closest to a mistyped one, or nothing
// when none is near.
func nearest(name string, known []string) string {
	const farthest = 3
	best, least := "", farthest+1
	for _, k := range known {
		n := levenshtein.ComputeDistance(strings.ToLower(name), k)
		if n < least && n < len(k) {
			best, least = k, n
		}
	}
	return best
}

func fieldNames() []string {
	names := make([]string, len(Fields))
	for i, f := range Fields {
		names[i] = f.Name
	}
	return names
}

func unknownField(name string) *Problem {
	return &Problem{
		Field: name, Found: "unknown field", Expected: "a field of docs/SETTINGS.md",
		Hint: nearest(name, fieldNames()),
	}
}
