package tree

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// unit turns the text of a value into a T and back into canonical text.
type unit[T any] struct {
	name    string
	example string
	literal literal // how a file writes it
	parse   func(string) (T, error)
	format  func(T) string
}

// literal is a form of JSON value.
type literal string

const (
	textLiteral   literal = "string"
	numberLiteral literal = "number"
	flagLiteral   literal = "boolean"
	listLiteral   literal = "array of strings"
)

var (
	spans = unit[time.Duration]{
		name:    "duration",
		example: "250ms, 2s or 1h",
		literal: textLiteral,
		parse:   parseSpan,
		format:  formatSpan,
	}
	shares = unit[float64]{
		name:    "share",
		example: "0.5% or 10%",
		literal: textLiteral,
		parse:   func(s string) (float64, error) { return suffixed(s, "%", 0.01) },
		format:  func(f float64) string { return decimal(f*100) + "%" },
	}
	sizes = unit[int64]{
		name:    "size",
		example: "512B, 64KB or 8MB",
		literal: textLiteral,
		parse:   parseSize,
		format:  formatSize,
	}
	numbers = unit[int]{
		name:    "count",
		example: "3",
		literal: numberLiteral,
		parse:   strconv.Atoi,
		format:  strconv.Itoa,
	}
	flags = unit[bool]{
		name:    "flag",
		example: "true or false",
		literal: flagLiteral,
		parse:   parseFlag,
		format:  strconv.FormatBool,
	}
	words = unit[string]{
		name:    "word",
		example: "a word",
		literal: textLiteral,
		parse:   func(s string) (string, error) { return s, nil },
		format:  func(s string) string { return s },
	}
	lists = unit[[]string]{
		name:    "list",
		example: `["GET", "HEAD"]`,
		literal: listLiteral,
		parse:   func(s string) ([]string, error) { return splitList(s), nil },
		format:  func(l []string) string { return strings.Join(l, ",") },
	}
)

var errForm = errors.New("wrong form")

func parseSpan(s string) (time.Duration, error) {
	if s == "0" {
		return 0, errForm
	}
	return time.ParseDuration(s)
}

// formatSpan drops the zero parts that time.Duration prints: 1h, not 1h0m0s.
func formatSpan(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func suffixed(s, suffix string, scale float64) (float64, error) {
	n, ok := strings.CutSuffix(s, suffix)
	if !ok {
		return 0, errForm
	}
	f, err := strconv.ParseFloat(n, 64)
	if err != nil || f != f {
		return 0, errForm
	}
	return f * scale, nil
}

// decimal prints at most six places, so that a share survives its way from
// percent to part and back.
func decimal(f float64) string {
	s := strconv.FormatFloat(f, 'f', 6, 64)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
}

const (
	kilo = 1 << 10
	mega = 1 << 20
)

func parseSize(s string) (int64, error) {
	for _, u := range []struct {
		suffix string
		bytes  int64
	}{{"KB", kilo}, {"MB", mega}, {"B", 1}} {
		n, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		i, err := strconv.ParseInt(n, 10, 32)
		return i * u.bytes, err
	}
	return 0, errForm
}

func formatSize(n int64) string {
	switch {
	case n != 0 && n%mega == 0:
		return strconv.FormatInt(n/mega, 10) + "MB"
	case n != 0 && n%kilo == 0:
		return strconv.FormatInt(n/kilo, 10) + "KB"
	}
	return strconv.FormatInt(n, 10) + "B"
}

func parseFlag(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errForm
}

func splitList(s string) []string {
	var list []string
	for _, part := range strings.Split(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}
