package tree

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Parse parses a settings file: JSON with comments, an object of nodes keyed by
// path.
//
//	{
//	  "/": {"kind": "root", "set": {"timeout": "2s"}},
//	  // parent defaults to the enclosing path
//	  "/swanbourne/deposit-ledger": {"kind": "service", "set": {"requirekey": true}},
//	}
//
// The returned document has revision 0, an empty log, and has passed Check. An
// error is of type Problems and carries line numbers of the file.
func Parse(file string, text []byte) (d Document, err error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return Document{}, Problems{syntaxProblem(file, err)}
	}
	p := parser{file: file, newlines: newlineOffsets(text), nodes: map[string]Node{}, lines: map[string]int{}}
	p.parseDocument(root)
	if len(p.problems) > 0 {
		return Document{}, p.problems.sorted()
	}
	d = Document{Nodes: p.nodes}
	if found := p.addLines(d.Check()); len(found) > 0 {
		return Document{}, found.sorted()
	}
	return d, nil
}

// syntaxProblem converts an error of the JSON parser into a Problem. The line
// number is only available as part of the error text.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Path: Root, Found: err.Error(), Expected: "JSON with comments"}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line int
	if _, rest, ok := strings.Cut(text, "line "); ok {
		for _, c := range rest {
			if c < '0' || c > '9' {
				break
			}
			line = line*10 + int(c-'0')
		}
	}
	p.Line = line
	p.Found = text
	return p
}

// parser collects the nodes of a file, their line numbers, and the problems
// found.
type parser struct {
	file     string
	newlines []int // byte offsets of the newlines, ascending
	nodes    map[string]Node
	lines    map[string]int // line numbers, keyed by path and by "path member"
	problems Problems
}

// lineOf returns the line number of a JSON value, starting at 1.
func (p *parser) lineOf(v hujson.Value) int {
	return 1 + sort.SearchInts(p.newlines, v.StartOffset)
}

// newlineOffsets returns the byte offsets of the newlines in text.
func newlineOffsets(text []byte) (offsets []int) {
	for i, c := range text {
		if c == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

// report appends a problem at the line of v.
func (p *parser) report(v hujson.Value, path, field, found, expected, hint string) {
	p.problems = append(p.problems, Problem{
		File: p.file, Line: p.lineOf(v), Path: path, Field: field, Found: found, Expected: expected, Hint: hint,
	})
}

// eachMember calls visit with the name, the name's JSON value and the value of
// each member of an object. It reports duplicate names, and v if it is not an
// object.
func (p *parser) eachMember(v hujson.Value, path, field, expected string, visit func(name string, nameValue, v hujson.Value)) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.report(v, path, field, describe(v), expected, "")
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := literalText(m.Name)
		if seen[name] {
			p.report(m.Name, path, field, "a second "+quote(name), "each name once", "")
			continue
		}
		seen[name] = true
		visit(name, m.Name, m.Value)
	}
}

func (p *parser) parseDocument(v hujson.Value) {
	p.eachMember(v, Root, "", "an object of nodes by path", func(path string, nameValue, v hujson.Value) {
		p.lines[path] = p.lineOf(nameValue)
		p.parseNode(path, v)
	})
}

var nodeMembers = []string{"kind", "parent", "set"}

func (p *parser) parseNode(path string, v hujson.Value) {
	n := Node{}
	p.eachMember(v, path, "", "an object with kind, parent and set", func(name string, nameValue, v hujson.Value) {
		p.lines[path+" "+name] = p.lineOf(nameValue)
		switch name {
		case "kind":
			n.Kind = Kind(p.parseString(path, name, v))
		case "parent":
			n.Parent = p.parseString(path, name, v)
		case "set":
			n.Values = p.parseSettings(path, v)
		default:
			p.report(nameValue, path, name, "unknown member", "kind, parent or set", closestName(name, nodeMembers))
		}
	})
	p.nodes[path] = n
}

// parseString returns the string v, or reports that it is not one.
func (p *parser) parseString(path, name string, v hujson.Value) string {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == '"' {
		return literal.String()
	}
	p.report(v, path, name, describe(v), "a string", "")
	return ""
}

// parseSettings returns the settings of a node in canonical text.
func (p *parser) parseSettings(path string, v hujson.Value) map[string]string {
	values := map[string]string{}
	p.eachMember(v, path, "set", "an object of settings", func(name string, nameValue, v hujson.Value) {
		p.lines[path+" "+name] = p.lineOf(nameValue)
		f, ok := Lookup(name)
		if !ok {
			unknown := unknownFieldProblem(name)
			p.report(nameValue, path, name, unknown.Found, unknown.Expected, unknown.Hint)
			return
		}
		text, ok := settingText(v, f.jsonType)
		if !ok {
			p.report(v, path, name, f.hide(describe(v)), f.expected, "")
			return
		}
		value, problem := f.Canonicalize(text)
		if problem != nil {
			p.report(v, path, name, problem.Found, problem.Expected, "")
			return
		}
		values[name] = value
	})
	return values
}

// addLines sets the file and line of the problems that Check returned.
func (p *parser) addLines(found Problems) Problems {
	for i := range found {
		found[i].File = p.file
		line, ok := p.lines[found[i].Path+" "+found[i].Field]
		if !ok {
			line = p.lines[found[i].Path]
		}
		found[i].Line = line
	}
	return found
}

// literalText returns the text of a literal, such as the name of a member.
func literalText(v hujson.Value) string {
	literal, _ := v.Value.(hujson.Literal)
	return literal.String()
}

// settingText returns a JSON value as the text of a setting, if the value has the
// wanted JSON type.
func settingText(v hujson.Value, want jsonType) (string, bool) {
	switch value := v.Value.(type) {
	case *hujson.Array:
		return settingListText(value, want)
	case hujson.Literal:
		switch value.Kind() {
		case '"':
			return value.String(), want == jsonString
		case '0':
			return string(value), want == jsonNumber
		case 't', 'f':
			return string(value), want == jsonBool
		}
	}
	return "", false
}

// settingListText joins the strings of an array with commas. It rejects elements
// that splitList would not return unchanged.
func settingListText(array *hujson.Array, want jsonType) (string, bool) {
	if want != jsonStringList {
		return "", false
	}
	var parts []string
	for _, element := range array.Elements {
		s, ok := settingText(element, jsonString)
		if !ok || strings.Contains(s, ",") || strings.TrimSpace(s) != s || s == "" {
			return "", false
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, ","), true
}

// describe returns a JSON value without comments and white space, shortened for an
// error message.
func describe(v hujson.Value) string {
	standard := v.Clone()
	standard.Standardize()
	var b bytes.Buffer
	if json.Compact(&b, standard.Pack()) != nil {
		return "something else"
	}
	return shorten(b.String())
}

func shorten(s string) string {
	const maxBytes = 60
	if len(s) > maxBytes {
		return s[:maxBytes] + "..."
	}
	return s
}

// AsProblems returns the Problems that err wraps, and reports whether there are
// any.
func AsProblems(err error) (Problems, bool) {
	var problems Problems
	ok := errors.As(err, &problems)
	return problems, ok
}
