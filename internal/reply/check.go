package reply

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"

	"plumpitch.example/plumpitch/internal/field"
)

// Error is the cause of a failed request whose response is malformed, so that nothing of it may be
// used.
type Error struct {
	Part  string // such as "header"
	Found string
}

// Error describes what was found.
func (e *Error) Error() string { return fmt.Sprintf("malformed response: %s %.100q", e.Part, e.Found) }

// Range of statuses.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an Error for a head that is none, although net/http accepts it.
func CheckHead(resp *http.Response) error {
	if resp.ProtoMajor != 1 && resp.TLS == nil { // HTTP/2 is spoken over TLS only
		return &Error{"version", resp.Proto}
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		return &Error{"status", resp.Status}
	}
	if containsStatusLine(resp.Status) {
		return &Error{"status line", resp.Status}
	}
	if err := checkFields("header", resp.Header); err != nil {
		return err
	}
	return CheckTrailer(resp.Trailer)
}

// CheckTrailer returns an Error for a trailer that is none, although net/http accepts it. It is
// complete at the end of the body.
func CheckTrailer(h http.Header) error { return checkFields("trailer", h) }

// checkFields checks the names of fields, and that no value contains a status line. Bytes that end
// within a reason or a field are completed by the next response on the connection, and the status
// of the one would be taken with the rest of the other.
func checkFields(part string, h http.Header) error {
	for name, values := range h {
		if !field.IsName(name) {
			return &Error{part, name}
		}
		for _, v := range values {
			if containsStatusLine(v) {
				return &Error{part, v}
			}
		}
	}
	return nil
}

// interimOverhead is about how many bytes an interim response has besides its fields, and
// fieldOverhead a field besides its name and value.
const (
	interimOverhead = 16
	fieldOverhead   = 4
)

// Interim checks the interim responses (status 1xx) before a response. net/http doesn't bound the
// bytes of those that are checked.
type Interim struct {
	Left int64 // bytes that all of them may still have
}

// Check is the hook Got1xxResponse of a trace.
func (i *Interim) Check(status int, h textproto.MIMEHeader) error {
	i.Left -= interimOverhead
	for name, values := range h {
		for _, v := range values {
			i.Left -= int64(len(name) + len(v) + fieldOverhead)
		}
	}
	if i.Left < 0 {
		return &Error{"interim response", fmt.Sprintf("%d, too long", status)}
	}
	return checkFields("header of an interim response", http.Header(h))
}

// statusLinePrefix begins the status line of a response.
const statusLinePrefix = "HTTP/1."

// containsStatusLine reports whether text contains a version and a status, such as "HTTP/1.1 200".
func containsStatusLine(text string) bool {
	const length = len("1 200")
	for {
		_, rest, found := strings.Cut(text, statusLinePrefix)
		if !found {
			return false
		}
		if len(rest) >= length && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
