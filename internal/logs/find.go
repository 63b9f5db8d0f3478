package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Entry   string
	Fields  map[string]any
}

type lineWire struct {
	Timestamp time.Time      `json:"timestamp"`
	Level     string         `json:"level"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// Context is how long before a request's first line the lines of its entry are
// of use: by then the entry has learnt of what the store knows.
const Context = 5 * time.Second

// maxLine bounds a line.
const maxLine = 1 << 20

// Find returns the lines about a request, and those in which an entry that
// served it changed what it believes, from Context before its first line to its
// last, in the order of time. What is no log line is passed over: collectors
// put words of their own before them.
func Find(r io.Reader, id string) (found []Line, err error) {
	lines, err := read(r)
	if err != nil {
		return nil, err
	}
	from, to := make(map[string]time.Time), make(map[string]time.Time)
	for _, l := range lines {
		if l.Fields[FieldRequest] != id {
			continue
		}
		if _, ok := from[l.Entry]; !ok {
			from[l.Entry] = l.Time.Add(-Context)
		}
		to[l.Entry] = l.Time
	}
	for _, l := range lines {
		of, about := l.Fields[FieldRequest]
		begin, served := from[l.Entry]
		near := served && !l.Time.Before(begin) && !l.Time.After(to[l.Entry])
		if of == id || !about && near {
			found = append(found, l)
		}
	}
	return found, nil
}

func read(r io.Reader) (lines []Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			continue
		}
		var w lineWire
		if json.Unmarshal(s.Bytes()[at:], &w) != nil || w.Timestamp.IsZero() {
			continue
		}
		entry, _ := w.Fields["entry"].(string)
		lines = append(lines, Line{w.Timestamp, w.Level, w.Message, entry, w.Fields})
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, errors.WithMessage(s.Err(), "log")
}

// Names returns the names of the fields beside the request and the entry.
func (l Line) Names() []string {
	return slices.Sorted(maps.Keys(maps.Collect(func(yield func(string, any) bool) {
		for k, v := range l.Fields {
			if k != FieldRequest && k != "entry" && !yield(k, v) {
				return
			}
		}
	})))
}
