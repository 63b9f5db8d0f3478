package call

import (
	"net/http"
	"strconv"
	"time"
)

const (
	maxTimeout     = time.Hour
	maxCount       = 1000 // limit of attempts and of levels
	maxQuotedValue = 64   // bytes of an invalid value quoted in an error
)

// Header holds the timeout of a request and its position in a call tree.
type Header struct {
	Timeout    time.Duration // time remaining for the request
	HasTimeout bool          // the request has a timeout; a Timeout of 0 is then expired
	Attempt    int
	Depth      int
}

// HeaderError is an invalid header.
type HeaderError struct {
	Name     string
	Found    string
	Expected string
}

// Error returns the header name, the value found and the values expected.
func (e *HeaderError) Error() string {
	found := e.Found
	if len(found) > maxQuotedValue {
		found = found[:maxQuotedValue] + "..."
	}
	return "header " + e.Name + ": found " + strconv.Quote(found) + ", expected " + e.Expected
}

// ParseHeader parses the headers of a request. A missing header yields zero.
func ParseHeader(h http.Header) (p Header, err error) {
	if p.Timeout, p.HasTimeout, err = parseTimeout(h); err != nil {
		return Header{}, err
	}
	if p.Attempt, err = parseCount(h, HeaderAttempt); err != nil {
		return Header{}, err
	}
	if p.Depth, err = parseCount(h, HeaderDepth); err != nil {
		return Header{}, err
	}
	return p, nil
}

func parseTimeout(h http.Header) (d time.Duration, found bool, err error) {
	s, found, err := singleValue(h, HeaderTimeout)
	if err != nil || !found {
		return 0, false, err
	}
	d, bad := time.ParseDuration(s)
	if bad != nil || d < 0 || d > maxTimeout {
		return 0, false, &HeaderError{HeaderTimeout, s, "a duration with unit from 0ms to 1h, such as 250ms"}
	}
	return d, true, nil
}

func parseCount(h http.Header, name string) (n int, err error) {
	s, found, err := singleValue(h, name)
	if err != nil || !found {
		return 0, err
	}
	u, bad := strconv.ParseUint(s, 10, 16)
	if bad != nil || u > maxCount {
		return 0, &HeaderError{name, s, "a whole number from 0 to " + strconv.Itoa(maxCount)}
	}
	return int(u), nil
}

// singleValue returns the only value of a header. Several values are an error, because
// readers would differ on which one applies.
func singleValue(h http.Header, name string) (s string, found bool, err error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", false, &HeaderError{name, values[0] + ", " + values[1], "one value"}
	}
}
