package forward

import (
	"net/http"
	"strconv"
	"strings"

	"plumpitch.example/plumpitch/pkg/call"
)

// Load is a target's word about itself on an answer.
type Load struct {
	Known    bool // the target said something
	Inflight int  // requests that it runs; negative when it didn't say
	Leaving  bool // it wants no new work
	Shed     bool // it did not begin this request
}

const (
	maxLoad     = 128     // bytes of a report
	maxInflight = 1 << 20 // requests in flight
)

func (f *Forwarder) load(h http.Header) Load {
	values := h[call.HeaderLoad]
	if len(values) == 0 {
		return Load{Inflight: -1}
	}
	l, ok := ParseLoad(values[0])
	if !ok || len(values) > 1 {
		f.malformed.Add(1)
		return Load{Inflight: -1}
	}
	return l
}

// ParseLoad reads a report: "inflight=3", "leaving" and "shed", parted by
// spaces, each at most once. A report with anything else is no report.
func ParseLoad(s string) (l Load, ok bool) {
	none := Load{Inflight: -1}
	l = none
	if len(s) > maxLoad {
		return none, false
	}
	for field := range strings.FieldsSeq(s) {
		if !l.take(field) {
			return none, false
		}
		l.Known = true
	}
	return l, l.Known
}

func (l *Load) take(field string) bool {
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
	if !ok || err != nil || n > maxInflight || l.Inflight >= 0 {
		return false
	}
	l.Inflight = int(n)
	return true
}
