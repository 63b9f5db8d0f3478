package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Field describes one setting. The table Fields is the only place that knows
// its name, unit, default, range and levels.
type Field struct {
	Name    string
	Unit    string // duration, share, size, count, flag, word, list
	Default string
	Low     string // least value; empty for none
	High    string // greatest value; empty for none
	Words   []string
	Levels  []Kind // kinds of node that can set it
	Help    string
	literal literal
	expect  string
	canon   func(string) (string, bool)
	assign  func(*Policy, string)
}

// Fields is the table of all settings in the order of the documentation.
var Fields = table()

// Lookup returns the field with a name.
func Lookup(name string) (f Field, ok bool) {
	i := slices.IndexFunc(Fields, func(f Field) bool { return f.Name == name })
	if i < 0 {
		return Field{}, false
	}
	return Fields[i], true
}

// Range tells the accepted values for people.
func (f Field) Range() string {
	switch {
	case len(f.Words) > 0:
		return strings.Join(f.Words, ", ")
	case f.Low != "" || f.High != "":
		return f.Low + " to " + f.High
	}
	return f.expect
}

// Canon returns the canonical text of a value, or a Problem that lacks only its
// place.
func (f Field) Canon(text string) (string, *Problem) {
	if s, ok := f.canon(text); ok {
		return s, nil
	}
	return "", &Problem{Field: f.Name, Found: quote(text), Expected: f.expect}
}

// spec is what a line of the table states.
type spec struct {
	name   string
	def    string
	low    string
	high   string
	words  []string
	levels []Kind
	help   string
}

func (s spec) field(unit, example string, l literal) Field {
	f := Field{
		Name:    s.name,
		Unit:    unit,
		Default: s.def,
		Low:     s.low,
		High:    s.high,
		Words:   s.words,
		Levels:  s.levels,
		Help:    s.help,
		literal: l,
	}
	if f.Levels == nil {
		f.Levels = []Kind{RootKind, GroupKind, ServiceKind}
	}
	f.expect = fmt.Sprintf("a %s such as %s", unit, example)
	return f
}

// between makes a field whose values have an order and a range.
func between[T cmp.Ordered](u unit[T], s spec, at func(*Policy) *T) Field {
	f := s.field(u.name, u.example, u.literal)
	low, high := must(u, s.low), must(u, s.high)
	f.expect += fmt.Sprintf(" from %s to %s", s.low, s.high)
	f.canon = func(text string) (string, bool) {
		v, err := u.parse(text)
		if err != nil || v < low || v > high {
			return "", false
		}
		return u.format(v), true
	}
	f.assign = func(p *Policy, text string) { *at(p) = must(u, text) }
	return f
}

// within makes a field whose values satisfy a condition.
func within[T any](u unit[T], s spec, expect string, valid func(T) bool, at func(*Policy) *T) Field {
	f := s.field(u.name, u.example, u.literal)
	f.expect = expect
	f.canon = func(text string) (string, bool) {
		v, err := u.parse(text)
		if err != nil || !valid(v) {
			return "", false
		}
		return u.format(v), true
	}
	f.assign = func(p *Policy, text string) { *at(p) = must(u, text) }
	return f
}

// oneOf makes a field which is one of a few words.
func oneOf(s spec, at func(*Policy) *string) Field {
	known := func(w string) bool { return slices.Contains(s.words, w) }
	return within(words, s, "one of "+strings.Join(s.words, ", "), known, at)
}

// flag makes a field which is true or false.
func flag(s spec, at func(*Policy) *bool) Field {
	return within(flags, s, "true or false", func(bool) bool { return true }, at)
}

// must parses text of the table itself or text that was checked before.
func must[T any](u unit[T], text string) T {
	v, err := u.parse(text)
	if err != nil {
		panic("tree: unchecked " + u.name + " " + text)
	}
	return v
}

func quote(text string) string {
	const longest = 60
	if len(text) > longest {
		text = text[:longest] + "..."
	}
	return fmt.Sprintf("%q", text)
}
