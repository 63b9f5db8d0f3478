package tree

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Field describes a setting. The table Fields is the single definition of its name,
// type, default, range and the kinds of nodes that can set it.
type Field struct {
	Name    string
	Unit    string // duration, share, size, count, flag, word, list
	Default string
	Low     string   // minimum; empty for none
	High    string   // maximum; empty for none
	Words   []string // accepted values; empty if not an enumeration
	Levels  []Kind   // kinds of nodes that can set the field
	Help    string
	literal literal // type of the JSON value in a settings file
	expect  string  // description of valid values for error messages
	canon   func(string) (string, bool)
	assign  func(*Policy, string) // sets the field of a Policy from canonical text
}

// Fields lists all settings in the order of the documentation.
var Fields = table()

// Lookup returns the field with the given name.
func Lookup(name string) (f Field, ok bool) {
	i := slices.IndexFunc(Fields, func(f Field) bool { return f.Name == name })
	if i < 0 {
		return Field{}, false
	}
	return Fields[i], true
}

// Range describes the accepted values for documentation.
func (f Field) Range() string {
	switch {
	case len(f.Words) > 0:
		return strings.Join(f.Words, ", ")
	case f.Low != "" || f.High != "":
		return f.Low + " to " + f.High
	}
	return f.expect
}

// Canonicalize returns the canonical text of a value, or a Problem without file,
// line and path.
func (f Field) Canon(text string) (string, *Problem) {
	if s, ok := f.canon(text); ok {
		return s, nil
	}
	return "", &Problem{Field: f.Name, Found: quote(text), Expected: f.expect}
}

// fieldSpec holds the attributes of a Field that the table states explicitly.
type spec struct {
	name   string
	def    string
	low    string
	high   string
	words  []string
	levels []Kind
	help   string
}

// newField returns a field without its functions. By default it can be set at every
// node except places.
func (s spec) field(typeName, example string, t literal) Field {
	f := Field{
		Name:    s.name,
		Unit:    typeName,
		Default: s.def,
		Low:     s.low,
		High:    s.high,
		Words:   s.words,
		Levels:  s.levels,
		Help:    s.help,
		literal: t,
	}
	if f.Levels == nil {
		f.Levels = []Kind{RootKind, GroupKind, ServiceKind}
	}
	f.expect = fmt.Sprintf("a %s such as %s", typeName, example)
	return f
}

// rangeField returns a field whose values lie between a minimum and a maximum. The
// function target returns the address of the field in a Policy.
func between[T cmp.Ordered](u unit[T], s spec, target func(*Policy) *T) Field {
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
	f.assign = func(p *Policy, text string) { *target(p) = must(u, text) }
	return f
}

// validatedField returns a field whose values satisfy a predicate.
func within[T any](u unit[T], s spec, expect string, valid func(T) bool, target func(*Policy) *T) Field {
	f := s.field(u.name, u.example, u.literal)
	f.expect = expect
	f.canon = func(text string) (string, bool) {
		v, err := u.parse(text)
		if err != nil || !valid(v) {
			return "", false
		}
		return u.format(v), true
	}
	f.assign = func(p *Policy, text string) { *target(p) = must(u, text) }
	return f
}

// enumField returns a field with an enumeration of values.
func oneOf(s spec, target func(*Policy) *string) Field {
	valid := func(value string) bool { return slices.Contains(s.words, value) }
	return within(words, s, "one of "+strings.Join(s.words, ", "), valid, target)
}

// boolField returns a field that is true or false.
func flag(s spec, target func(*Policy) *bool) Field {
	return within(flags, s, "true or false", func(bool) bool { return true }, target)
}

// mustParse parses a value that is part of the table or already validated. It
// panics on an invalid value.
func must[T any](u unit[T], text string) T {
	v, err := u.parse(text)
	if err != nil {
		panic("tree: invalid " + u.name + " " + text)
	}
	return v
}

// quote returns text in double quotes, shortened for an error message.
func quote(text string) string {
	const maxBytes = 60
	if len(text) > maxBytes {
		text = text[:maxBytes] + "..."
	}
	return fmt.Sprintf("%q", text)
}
