package tree_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumpitch.example/plumpitch/pkg/tree"
)

// documentedRow returns the table row of docs/SETTINGS.md for a field.
func documentedRow(f tree.Field) string {
	var levels []string
	for _, k := range f.Kinds {
		levels = append(levels, string(k))
	}
	def := f.Default
	if def == "" {
		def = "empty"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s |",
		f.Name, f.Type, def, f.Range(), strings.Join(levels, ", "), f.Help)
}

// The table of docs/SETTINGS.md must contain exactly the rows of tree.Fields.
func TestDocumentation(t *testing.T) {
	q := qt.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	q.Assert(err, qt.IsNil)
	lines := strings.Split(string(page), "\n")
	for _, f := range tree.Fields {
		q.Check(lines, qt.Contains, documentedRow(f))
	}
	documented := 0
	for _, l := range lines {
		if strings.HasPrefix(l, "| ") && !strings.HasPrefix(l, "| setting") {
			documented++
		}
	}
	q.Check(documented, qt.Equals, len(tree.Fields))
}
