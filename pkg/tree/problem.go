package tree

import (
	"fmt"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Problem is a validation error of a settings file, document or edit.
type Problem struct {
	File     string // empty if the problem is not in a file
	Line     int    // starting at 1; 0 if unknown
	Path     string // of the node
	Field    string // empty if the problem concerns the node itself
	Found    string
	Expected string
	Hint     string // a similar valid name
}

// Error returns a message in the form
// "FILE:LINE: PATH FIELD: found X, expected Y; did you mean Z?". Parts that do not
// apply are left out.
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

// Problems is a list of validation errors. It is not empty when returned as an
// error.
type Problems []Problem

// Error returns the messages of all problems, one per line.
func (l Problems) Error() string {
	lines := make([]string, len(l))
	for i, p := range l {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the problems in place by line, path and field.
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

// closestName returns the known name with the smallest edit distance to a misspelled
// one, or an empty string if none is similar.
func closestName(name string, known []string) string {
	const maxDistance = 3
	closest, least := "", maxDistance+1
	for _, k := range known {
		distance := levenshtein.ComputeDistance(strings.ToLower(name), k)
		if distance < least && distance < len(k) {
			closest, least = k, distance
		}
	}
	return closest
}

func fieldNames() []string {
	names := make([]string, len(Fields))
	for i, f := range Fields {
		names[i] = f.Name
	}
	return names
}

func unknownFieldProblem(name string) *Problem {
	return &Problem{
		Field: name, Found: "unknown field", Expected: "a field of docs/SETTINGS.md",
		Hint: closestName(name, fieldNames()),
	}
}
