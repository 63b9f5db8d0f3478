package forward

import (
	"net/http"
	"strconv"
	"strings"

	"plumpitch.example/plumpitch/pkg/call"
)

// Load is the load report of a target, received with a response.
type Load struct {
	Known    bool // the response had a valid report
	InFlight int  // requests that the target is running; negative if not reported
	Leaving  bool // the target is leaving and must get no new requests
	Shed     bool // the target did not start this request; needs an error status and the request's ID
}

const (
	maxLoadBytes = 128     // bytes of a report
	maxInFlight  = 1 << 20 // largest valid number of requests
)

// readLoad returns the load report of a response and counts a malformed one.
func (f *Forwarder) readLoad(h http.Header) Load {
	values := h[call.HeaderLoad]
	if len(values) == 0 {
		return Load{InFlight: -1}
	}
	l, ok := ParseLoad(values[0])
	if !ok || len(values) > 1 {
		f.malformedLoads.Add(1)
		return Load{InFlight: -1}
	}
	return l
}

// ParseLoad parses a load report: the fields "inflight=3", "leaving" and "shed",
// separated by spaces, each at most once. A report with any other field is
// malformed.
func ParseLoad(s string) (l Load, ok bool) {
	none := Load{InFlight: -1}
	l = none
	if len(s) > maxLoadBytes {
		return none, false
	}
	for field := range strings.FieldsSeq(s) {
		if !l.parseField(field) {
			return none, false
		}
		l.Known = true
	}
	return l, l.Known
}

// parseField parses one field, and reports whether it is valid and not a repetition.
func (l *Load) parseField(field string) bool {
	switch field {
	case "leaving":
		ok := !l.Leaving
		l.Leaving = true
		return ok
	case "shed":
		ok := !l.Shed
		l.Shed = true
		return ok
	}
	digits, ok := strings.CutPrefix(field, "inflight=")
	n, err := strconv.ParseUint(digits, 10, 32)
	if !ok || err != nil || n > maxInFlight || l.InFlight >= 0 {
		return false
	}
	l.InFlight = int(n)
	return true
}
