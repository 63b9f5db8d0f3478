package main

import (
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pkg/errors"
)

// maxSuggestionDistance is the largest edit distance at which a name is suggested.
const maxSuggestionDistance = 3

// checkCommandNames rejects an unknown command and suggests the closest name. The parser
// itself would accept the word as a positional argument.
func checkCommandNames(all []*command, args []string) (err error) {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") || args[0] == "help" {
		return nil
	}
	var names []string
	for _, c := range all {
		if c.sub.Name == args[0] {
			if len(c.subs) == 0 {
				return nil
			}
			return checkCommandNames(c.subs, args[1:])
		}
		names = append(names, c.sub.Name)
	}
	if s := closestName(args[0], names); s != "" {
		return errors.Errorf("unknown command %q, did you mean %q?", args[0], s)
	}
	return errors.Errorf("unknown command %q, expected one of: %s", args[0], strings.Join(names, ", "))
}

func closestName(word string, names []string) (best string) {
	bestDistance := maxSuggestionDistance + 1
	for _, n := range names {
		if d := levenshtein.ComputeDistance(word, n); d < bestDistance {
			bestDistance, best = d, n
		}
	}
	return best
}
