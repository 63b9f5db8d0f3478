package tree

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Parse reads a settings file: JSON with comments, an object of nodes by path.
//
//	{
//	  "/": {"kind": "root", "set": {"timeout": "2s"}},
//	  // parent is the enclosing path when it is left out
//	  "/swanbourne/deposit-ledger": {"kind": "service", "set": {"requirekey": true}},
//	}
//
// The result has revision 0 and no edits, and has passed Check. The error is
// Problems with the lines of the file.
func Parse(file string, text []byte) (d Document, err error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return Document{}, Problems{syntaxProblem(file, err)}
	}
	p := parser{file: file, ends: lineEnds(text), nodes: map[string]Node{}, lines: map[string]int{}}
	p.document(root)
	if len(p.found) > 0 {
		return Document{}, p.found.sorted()
	}
	d = Document{Nodes: p.nodes}
	if found := p.locate(d.Check()); len(found) > 0 {
		return Document{}, found.sorted()
	}
	return d, nil
}

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

// parser collects the nodes of a file, the lines they stand on, and faults.
type parser struct {
	file  string
	ends  []int // offsets of the line ends
	nodes map[string]Node
	lines map[string]int // by path, and by path, space and member
	found Problems
}

func (p *parser) line(v hujson.Value) int {
	return 1 + sort.SearchInts(p.ends, v.StartOffset)
}

func lineEnds(text []byte) (ends []int) {
	for i, c := range text {
		if c == '\n' {
			ends = append(ends, i)
		}
	}
	return ends
}

func (p *parser) fault(v hujson.Value, path, field, found, expected, hint string) {
	p.found = append(p.found, Problem{
		File: p.file, Line: p.line(v), Path: path, Field: field, Found: found, Expected: expected, Hint: hint,
	})
}

// members calls each for the members of an object and reports duplicates.
func (p *parser) members(v hujson.Value, path, field, expected string, each func(name string, at, v hujson.Value)) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fault(v, path, field, describe(v), expected, "")
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := text(m.Name)
		if seen[name] {
			p.fault(m.Name, path, field, "a second "+quote(name), "each name once", "")
			continue
		}
		seen[name] = true
		each(name, m.Name, m.Value)
	}
}

func (p *parser) document(v hujson.Value) {
	p.members(v, Root, "", "an object of nodes by path", func(path string, at, v hujson.Value) {
		p.lines[path] = p.line(at)
		p.node(path, v)
	})
}

var nodeMembers = []string{"kind", "parent", "set"}

func (p *parser) node(path string, v hujson.Value) {
	n := Node{}
	p.members(v, path, "", "an object with kind, parent and set", func(name string, at, v hujson.Value) {
		p.lines[path+" "+name] = p.line(at)
		switch name {
		case "kind":
			n.Kind = Kind(p.text1(path, name, v))
		case "parent":
			n.Parent = p.text1(path, name, v)
		case "set":
			n.Values = p.values(path, v)
		default:
			p.fault(at, path, name, "unknown member", "kind, parent or set", nearest(name, nodeMembers))
		}
	})
	p.nodes[path] = n
}

func (p *parser) text1(path, name string, v hujson.Value) string {
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == '"' {
		return l.String()
	}
	p.fault(v, path, name, describe(v), "a string", "")
	return ""
}

func (p *parser) values(path string, v hujson.Value) map[string]string {
	values := map[string]string{}
	p.members(v, path, "set", "an object of settings", func(name string, at, v hujson.Value) {
		p.lines[path+" "+name] = p.line(at)
		f, ok := Lookup(name)
		if !ok {
			u := unknownField(name)
			p.fault(at, path, name, u.Found, u.Expected, u.Hint)
			return
		}
		raw, ok := plain(v, f.literal)
		if !ok {
			p.fault(v, path, name, describe(v), f.expect, "")
			return
		}
		value, bad := f.Canon(raw)
		if bad != nil {
			p.fault(v, path, name, bad.Found, bad.Expected, "")
			return
		}
		values[name] = value
	})
	return values
}

// locate adds file and line to the faults that Check found.
func (p *parser) locate(found Problems) Problems {
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

func text(v hujson.Value) string {
	l, _ := v.Value.(hujson.Literal)
	return l.String()
}

// plain returns the text of a JSON value of the expected form.
func plain(v hujson.Value, want literal) (string, bool) {
	switch value := v.Value.(type) {
	case *hujson.Array:
		return plainList(value, want)
	case hujson.Literal:
		switch value.Kind() {
		case '"':
			return value.String(), want == textLiteral
		case '0':
			return string(value), want == numberLiteral
		case 't', 'f':
			return string(value), want == flagLiteral
		}
	}
	return "", false
}

func plainList(a *hujson.Array, want literal) (string, bool) {
	if want != listLiteral {
		return "", false
	}
	var parts []string
	for _, e := range a.Elements {
		s, ok := plain(e, textLiteral)
		if !ok || strings.Contains(s, ",") || strings.TrimSpace(s) != s || s == "" {
			return "", false
		}
		parts = append(parts, s)
	}
	return strings.Join(parts, ","), true
}

// describe names a JSON value as it was found.
func describe(v hujson.Value) string {
	c := v.Clone()
	c.Standardize()
	var b bytes.Buffer
	if json.Compact(&b, c.Pack()) != nil {
		return "something else"
	}
	return shorten(b.String())
}

func shorten(s string) string {
	const longest = 60
	if len(s) > longest {
		return s[:longest] + "..."
	}
	return s
}

// AsProblems returns the faults that an error carries, if it does.
func AsProblems(err error) (Problems, bool) {
	var l Problems
	ok := errors.As(err, &l)
	return l, ok
}
