package rawjson

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// scanner finds the ends of values in a text.
type scanner struct {
	data    []byte
	at      int
	nesting nesting
	deepest int // levels of the deepest value so far
}

// nesting follows the lists and objects that are open at a position.
type nesting struct {
	closers  []byte // brackets that are expected, innermost last
	inString bool
	escaped  bool
}

// next follows a byte of a list, an object or a string. done is whether the value ends with it.
func (n *nesting) next(c byte) (done bool, err error) {
	if n.inString {
		switch {
		case n.escaped:
			n.escaped = false
		case c == '\\':
			n.escaped = true
		case c == '"':
			n.inString = false
		}
		return !n.inString && len(n.closers) == 0, nil
	}
	switch c {
	case '"':
		n.inString = true
	case '{':
		n.closers = append(n.closers, '}')
	case '[':
		n.closers = append(n.closers, ']')
	case '}', ']':
		last := len(n.closers) - 1
		if last < 0 || n.closers[last] != c {
			return false, errors.Errorf("found an unexpected %c", c)
		}
		n.closers = n.closers[:last]
		return last == 0, nil
	}
	return false, nil
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

func (s *scanner) skipBlanks() {
	for s.at < len(s.data) && isBlank(s.data[s.at]) {
		s.at++
	}
}

// peek returns the next byte that isn't blank; ok is false at the end.
func (s *scanner) peek() (c byte, ok bool) {
	s.skipBlanks()
	if s.at == len(s.data) {
		return 0, false
	}
	return s.data[s.at], true
}

// expect skips a byte, and fails if the next one is another.
func (s *scanner) expect(want byte) error {
	c, ok := s.peek()
	if !ok {
		return s.atEnd()
	}
	if c != want {
		return errors.Errorf("invalid JSON at byte %d, expected %c", s.at+1, want)
	}
	s.at++
	return nil
}

// begin skips the bracket that begins a list or an object.
func (s *scanner) begin(bracket byte, what string) error {
	c, ok := s.peek()
	switch {
	case !ok:
		return errors.Errorf("found nothing, expected %s", what)
	case c != bracket:
		return errors.Errorf("found another value, expected %s", what)
	}
	s.at++
	return nil
}

// end skips a bracket if it is the next byte.
func (s *scanner) end(bracket byte) bool {
	c, ok := s.peek()
	if !ok || c != bracket {
		return false
	}
	s.at++
	return true
}

// finish fails unless only blanks are left.
func (s *scanner) finish() error {
	if _, ok := s.peek(); ok {
		return errors.Errorf("invalid JSON at byte %d, expected the end", s.at+1)
	}
	return nil
}

func (s *scanner) atEnd() error {
	return errors.Errorf("invalid JSON: unexpected end at byte %d", s.at)
}

// name skips the name of a field and returns it.
func (s *scanner) name() (name string, err error) {
	if c, ok := s.peek(); !ok {
		return "", s.atEnd()
	} else if c != '"' {
		return "", errors.Errorf("invalid JSON at byte %d, expected the name of a field", s.at+1)
	}
	raw, err := s.value()
	if err != nil {
		return "", err
	}
	for _, c := range raw {
		if c == '\\' {
			// An invalid name is none that anything looks for.
			_ = json.Unmarshal(raw, &name)
			return name, nil
		}
	}
	return string(raw[1 : len(raw)-1]), nil
}

// value skips a value and returns its text.
func (s *scanner) value() (value json.RawMessage, err error) {
	c, ok := s.peek()
	if !ok {
		return nil, s.atEnd()
	}
	start := s.at
	if c != '"' && c != '{' && c != '[' {
		for s.at < len(s.data) && !endsLiteral(s.data[s.at]) {
			s.at++
		}
		if s.at == start {
			return nil, errors.Errorf("invalid JSON at byte %d, expected a value", s.at+1)
		}
		return s.text(start), nil
	}
	s.nesting = nesting{closers: s.nesting.closers[:0]}
	for s.at < len(s.data) {
		done, err := s.nesting.next(s.data[s.at])
		if err != nil {
			return nil, errors.WithMessagef(err, "invalid JSON at byte %d", s.at+1)
		}
		s.deepest = max(s.deepest, len(s.nesting.closers))
		s.at++
		if done {
			return s.text(start), nil
		}
	}
	return nil, s.atEnd()
}

// text returns the text from start up to the scanner's position. Appending to it copies it.
func (s *scanner) text(start int) json.RawMessage { return s.data[start:s.at:s.at] }

// endsLiteral reports whether a byte can't belong to a number, true, false or null.
func endsLiteral(c byte) bool {
	return isBlank(c) || c == ',' || c == ':' || c == '"' || c == '[' || c == ']' || c == '{' || c == '}'
}
