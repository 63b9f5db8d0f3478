// Package rawjson splits JSON text into the values that it holds without decoding them, so that
// each can be decoded alone. encoding/json refuses a text as a whole if one value in it is invalid
// or nested deeper than it supports.
//
// The package checks strings, brackets, commas and colons as far as it needs them to find where a
// value ends. Whether a value is valid JSON is found when it is decoded.
package rawjson

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// MaxDepth is the number of levels up to which encoding/json decodes nested lists and objects.
const MaxDepth = 10_000

// Elements returns the elements of a list, which share the memory of data. null is an empty list.
func Elements(data []byte) (elements []json.RawMessage, err error) {
	s := scanner{data: data}
	if isNull(data) {
		return nil, nil
	}
	if err := s.begin('[', "a list"); err != nil {
		return nil, err
	}
	for !s.end(']') {
		if len(elements) > 0 {
			if err := s.expect(','); err != nil {
				return nil, err
			}
		}
		v, err := s.value()
		if err != nil {
			return nil, err
		}
		elements = append(elements, v)
	}
	return elements, s.finish()
}

// Fields returns the values of an object's fields with these names, which share the memory of
// data. The value of a missing field is nil, and the last one counts if there are several.
func Fields(data []byte, names ...string) (values []json.RawMessage, err error) {
	values = make([]json.RawMessage, len(names))
	err = eachField(data, func(name string, value json.RawMessage) bool {
		for i, n := range names {
			if n == name {
				values[i] = value
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	return values, nil
}

// eachField calls visit for each field of an object, until it returns false.
func eachField(data []byte, visit func(name string, value json.RawMessage) bool) error {
	s := scanner{data: data}
	if err := s.begin('{', "an object"); err != nil {
		return err
	}
	for first := true; !s.end('}'); first = false {
		if !first {
			if err := s.expect(','); err != nil {
				return err
			}
		}
		name, err := s.name()
		if err != nil {
			return err
		}
		if err := s.expect(':'); err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		if !visit(name, value) {
			return nil
		}
	}
	return s.finish()
}

// Unmarshal is json.Unmarshal with an error that names the field that is nested too deep.
func Unmarshal(data []byte, into any) error {
	err := json.Unmarshal(data, into)
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) || depth(data) <= MaxDepth {
		return err
	}
	err = errors.Errorf("nested deeper than %d levels", MaxDepth)
	if path := deepField(data); path != "" {
		return errors.WithMessage(err, path)
	}
	return err
}

// maxPathNames and maxNameBytes bound the path of a field in an error.
const (
	maxPathNames = 2
	maxNameBytes = 40
)

// deepField returns the path of the first field of an object that is nested too deep, or "" if
// data isn't an object.
func deepField(data []byte) (path string) {
	for level := 1; level <= maxPathNames; level++ {
		var found json.RawMessage
		name := ""
		_ = eachField(data, func(n string, value json.RawMessage) bool {
			if depth(value) > MaxDepth-level {
				name, found = n[:min(len(n), maxNameBytes)], value
			}
			return found == nil
		})
		if found == nil {
			break
		}
		if path != "" {
			path += "."
		}
		path, data = path+name, found
	}
	return path
}

// depth returns the number of levels of the value that data begins with.
func depth(data []byte) int {
	s := scanner{data: data}
	if _, err := s.value(); err != nil {
		return 0
	}
	return s.deepest
}

func isNull(data []byte) bool { return string(bytes.TrimSpace(data)) == "null" }
