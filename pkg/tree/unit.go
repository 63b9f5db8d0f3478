package tree

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// valueType is the type of a setting: it parses text into a T and formats a T as
// canonical text.
type unit[T any] struct {
	name    string  // as documented and shown in error messages
	example string  // shown in error messages
	literal literal // type of the JSON value in a settings file
	parse   func(string) (T, error)
	format  func(T) string
}

// jsonType is the type of a JSON value.
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

var errForm = errors.New("malformed value")

// parseDuration parses a duration with a unit. Without the check,
// time.ParseDuration would accept a bare 0.
func parseSpan(s string) (time.Duration, error) {
	if s == "0" {
		return 0, errForm
	}
	return time.ParseDuration(s)
}

// formatDuration formats a duration without trailing zero units: 1h instead of the
// 1h0m0s that time.Duration.String returns.
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

// parseScaled parses a number with a suffix, such as %, and multiplies it by scale.
// It rejects NaN.
func suffixed(s, suffix string, scale float64) (float64, error) {
	number, ok := strings.CutSuffix(s, suffix)
	if !ok {
		return 0, errForm
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil || f != f {
		return 0, errForm
	}
	return f * scale, nil
}

// formatDecimal formats f with at most six decimal places, so that a share does not
// change when it is converted from percent to a fraction and back.
func decimal(f float64) string {
	s := strconv.FormatFloat(f, 'f', 6, 64)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
}

const (
	kilo = 1 << 10
	mega = 1 << 20
)

func parseSize(s string) (int64, error) {
	for _, unit := range []struct {
		suffix string
		bytes  int64
	}{{"KB", kilo}, {"MB", mega}, {"B", 1}} {
		number, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseInt(number, 10, 32)
		return count * unit.bytes, err
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

// splitList splits a list at commas, trims white space and drops empty elements.
func splitList(s string) []string {
	var list []string
	for _, element := range strings.Split(s, ",") {
		if element = strings.TrimSpace(element); element != "" {
			list = append(list, element)
		}
	}
	return list
}
