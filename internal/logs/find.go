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

type jsonLine struct {
	Timestamp time.Time      `json:"timestamp"`
	Level     string         `json:"level"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// LookbackTime is how long before a request's first line Find starts to include the lines
// about no request that the request's entry wrote. An entry receives a change of the store
// within this time, so these lines show which changes it knew when it served the request.
const LookbackTime = 5 * time.Second

// maxLineBytes bounds the length of a line.
const maxLineBytes = 1 << 20

// Find returns the log lines about a request in the order of time. It includes the lines
// about no request that the entries serving it wrote from LookbackTime before its first
// line to its last one: they show changes of the entry's state. Find ignores text that is
// not a log line, and text before the JSON object, as collectors add prefixes.
func Find(r io.Reader, id string) (found []Line, err error) {
	lines, err := readLines(r)
	if err != nil {
		return nil, err
	}
	from, to := make(map[string]time.Time), make(map[string]time.Time)
	for _, l := range lines {
		if l.Fields[FieldRequest] != id {
			continue
		}
		if _, ok := from[l.Entry]; !ok {
			from[l.Entry] = l.Time.Add(-LookbackTime)
		}
		to[l.Entry] = l.Time
	}
	for _, l := range lines {
		request, aboutRequest := l.Fields[FieldRequest]
		start, served := from[l.Entry]
		inRange := served && !l.Time.Before(start) && !l.Time.After(to[l.Entry])
		if request == id || !aboutRequest && inRange {
			found = append(found, l)
		}
	}
	return found, nil
}

func readLines(r io.Reader) (lines []Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var w jsonLine
		if json.Unmarshal(s.Bytes()[start:], &w) != nil || w.Timestamp.IsZero() {
			continue
		}
		entry, _ := w.Fields["entry"].(string)
		lines = append(lines, Line{w.Timestamp, w.Level, w.Message, entry, w.Fields})
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, errors.WithMessage(s.Err(), "log")
}

// FieldNames returns the sorted names of the fields other than the request and the entry.
func (l Line) FieldNames() []string {
	return slices.Sorted(maps.Keys(maps.Collect(func(yield func(string, any) bool) {
		for k, v := range l.Fields {
			if k != FieldRequest && k != "entry" && !yield(k, v) {
				return
			}
		}
	})))
}
