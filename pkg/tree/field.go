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
	Name         string
	Type         string // duration, share, size, count, flag, word, list
	Default      string
	Min          string   // minimum; empty for none
	Max          string   // maximum; empty for none
	Enum         []string // accepted values; empty if not an enumeration
	Kinds        []Kind   // kinds of nodes that can set the field
	Help         string
	secret       bool     // error messages don't contain the value
	jsonType     jsonType // type of the JSON value in a settings file
	expected     string   // description of valid values for error messages
	canonicalize func(string) (string, bool)
	assign       func(*Policy, string) // sets the field of a Policy from canonical text
}

// Fields lists all settings in the order of the documentation.
var Fields = allFields()

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
	case len(f.Enum) > 0:
		return strings.Join(f.Enum, ", ")
	case f.Min != "" || f.Max != "":
		return f.Min + " to " + f.Max
	}
	return f.expected
}

// Canonicalize returns the canonical text of a value, or a Problem without file,
// line and path.
func (f Field) Canonicalize(text string) (string, *Problem) {
	if s, ok := f.canonicalize(text); ok {
		return s, nil
	}
	return "", &Problem{Field: f.Name, Found: f.hide(quote(text)), Expected: f.expected}
}

// hide returns the description of a value for an error message, or that of a hidden one.
func (f Field) hide(description string) string {
	if f.secret {
		return "another value"
	}
	return description
}

// fieldSpec holds the attributes of a Field that the table states explicitly.
type fieldSpec struct {
	name  string
	def   string
	min   string
	max   string
	enum  []string
	kinds []Kind
	help  string

	secret bool
}

// newField returns a field without its functions. By default it can be set at every
// node except places and accounts.
func (s fieldSpec) newField(typeName, example string, t jsonType) Field {
	f := Field{
		Name:     s.name,
		Type:     typeName,
		Default:  s.def,
		Min:      s.min,
		Max:      s.max,
		Enum:     s.enum,
		Kinds:    s.kinds,
		Help:     s.help,
		secret:   s.secret,
		jsonType: t,
	}
	if f.Kinds == nil {
		f.Kinds = []Kind{RootKind, GroupKind, ServiceKind}
	}
	f.expected = fmt.Sprintf("a %s such as %s", typeName, example)
	return f
}

// rangeField returns a field whose values lie between a minimum and a maximum. The
// function target returns the address of the field in a Policy.
func rangeField[T cmp.Ordered](u valueType[T], s fieldSpec, target func(*Policy) *T) Field {
	f := s.newField(u.name, u.example, u.jsonType)
	low, high := mustParse(u, s.min), mustParse(u, s.max)
	f.expected += fmt.Sprintf(" from %s to %s", s.min, s.max)
	f.canonicalize = func(text string) (string, bool) {
		v, err := u.parse(text)
		if err != nil || v < low || v > high {
			return "", false
		}
		return u.format(v), true
	}
	f.assign = func(p *Policy, text string) { *target(p) = mustParse(u, text) }
	return f
}

// validatedField returns a field whose values satisfy a predicate.
func validatedField[T any](u valueType[T], s fieldSpec, expect string, valid func(T) bool, target func(*Policy) *T) Field {
	f := s.newField(u.name, u.example, u.jsonType)
	f.expected = expect
	f.canonicalize = func(text string) (string, bool) {
		v, err := u.parse(text)
		if err != nil || !valid(v) {
			return "", false
		}
		return u.format(v), true
	}
	f.assign = func(p *Policy, text string) { *target(p) = mustParse(u, text) }
	return f
}

// enumField returns a field with an enumeration of values.
func enumField(s fieldSpec, target func(*Policy) *string) Field {
	valid := func(value string) bool { return slices.Contains(s.enum, value) }
	return validatedField(stringType, s, "one of "+strings.Join(s.enum, ", "), valid, target)
}

// boolField returns a field that is true or false.
func boolField(s fieldSpec, target func(*Policy) *bool) Field {
	return validatedField(boolType, s, "true or false", func(bool) bool { return true }, target)
}

// mustParse parses a value that is part of the table or already validated. It
// panics on an invalid value.
func mustParse[T any](u valueType[T], text string) T {
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
