package tree

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// valueType is the type of a setting: it parses text into a T and formats a T as
// canonical text.
type valueType[T any] struct {
	name     string   // as documented and shown in error messages
	example  string   // shown in error messages
	jsonType jsonType // type of the JSON value in a settings file
	parse    func(string) (T, error)
	format   func(T) string
}

// jsonType is the type of a JSON value.
type jsonType string

const (
	jsonString     jsonType = "string"
	jsonNumber     jsonType = "number"
	jsonBool       jsonType = "boolean"
	jsonStringList jsonType = "array of strings"
)

var (
	durationType = valueType[time.Duration]{
		name:     "duration",
		example:  "250ms, 2s or 1h",
		jsonType: jsonString,
		parse:    parseDuration,
		format:   formatDuration,
	}
	shareType = valueType[float64]{
		name:     "share",
		example:  "0.5% or 10%",
		jsonType: jsonString,
		parse:    func(s string) (float64, error) { return parseScaled(s, "%", 0.01) },
		format:   func(f float64) string { return formatDecimal(f*100) + "%" },
	}
	sizeType = valueType[int64]{
		name:     "size",
		example:  "512B, 64KB or 8MB",
		jsonType: jsonString,
		parse:    parseSize,
		format:   formatSize,
	}
	countType = valueType[int]{
		name:     "count",
		example:  "3",
		jsonType: jsonNumber,
		parse:    strconv.Atoi,
		format:   strconv.Itoa,
	}
	numberType = valueType[float64]{
		name:     "number",
		example:  "2.5",
		jsonType: jsonNumber,
		parse:    func(s string) (float64, error) { return parseScaled(s, "", 1) },
		format:   func(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) },
	}
	boolType = valueType[bool]{
		name:     "flag",
		example:  "true or false",
		jsonType: jsonBool,
		parse:    parseBool,
		format:   strconv.FormatBool,
	}
	stringType = valueType[string]{
		name:     "word",
		example:  "a word",
		jsonType: jsonString,
		parse:    func(s string) (string, error) { return s, nil },
		format:   func(s string) string { return s },
	}
	listType = valueType[[]string]{
		name:     "list",
		example:  `["GET", "HEAD"]`,
		jsonType: jsonStringList,
		parse:    func(s string) ([]string, error) { return splitList(s), nil },
		format:   func(l []string) string { return strings.Join(l, ",") },
	}
)

var errMalformed = errors.New("malformed value")

// parseDuration parses a duration with a unit. Without the check,
// time.ParseDuration would accept a bare 0.
func parseDuration(s string) (time.Duration, error) {
	if s == "0" {
		return 0, errMalformed
	}
	return time.ParseDuration(s)
}

// formatDuration formats a duration without trailing zero units: 1h instead of the
// 1h0m0s that time.Duration.String returns.
func formatDuration(d time.Duration) string {
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
func parseScaled(s, suffix string, scale float64) (float64, error) {
	number, ok := strings.CutSuffix(s, suffix)
	if !ok {
		return 0, errMalformed
	}
	f, err := strconv.ParseFloat(number, 64)
	if err != nil || f != f {
		return 0, errMalformed
	}
	return f * scale, nil
}

// formatDecimal formats f with at most six decimal places, so that a share does not
// change when it is converted from percent to a fraction and back.
func formatDecimal(f float64) string {
	s := strconv.FormatFloat(f, 'f', 6, 64)
	return strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

func parseSize(s string) (int64, error) {
	for _, unit := range []struct {
		suffix string
		bytes  int64
	}{{"KB", kibibyte}, {"MB", mebibyte}, {"B", 1}} {
		number, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseInt(number, 10, 32)
		return count * unit.bytes, err
	}
	return 0, errMalformed
}

func formatSize(n int64) string {
	switch {
	case n != 0 && n%mebibyte == 0:
		return strconv.FormatInt(n/mebibyte, 10) + "MB"
	case n != 0 && n%kibibyte == 0:
		return strconv.FormatInt(n/kibibyte, 10) + "KB"
	}
	return strconv.FormatInt(n, 10) + "B"
}

func parseBool(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errMalformed
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
