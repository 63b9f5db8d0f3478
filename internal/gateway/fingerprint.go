package gateway

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"plumpitch.example/plumpitch/pkg/call"
	"plumpitch.example/plumpitch/platform"
)

// fingerprints identify a request that is repeated by what its targets see of it, whoever sends
// it. If either of them has crashed targets, so has the request.
type fingerprints struct {
	content uint64 // of host, method, path, query and body
	headers uint64 // of the content and the headers
}

// ignoredHeaders aren't forwarded, or differ between attempts of one request.
var ignoredHeaders = []string{
	"Connection", "Content-Length", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	platform.HeaderRequestID, platform.HeaderDeadline,
}

// fingerprints returns the fingerprints of the request, which it computes once.
func (q *request) fingerprints() fingerprints {
	if q.prints == (fingerprints{}) {
		q.prints = q.computeFingerprints()
	}
	return q.prints
}

// contentFingerprint returns the hash of the request's content.
func (q *request) contentFingerprint() uint64 {
	return call.Fingerprint(q.route.Host, q.r.Method, q.r.URL.EscapedPath(), q.r.URL.RawQuery, call.BodyHash(q.body...))
}

// computeFingerprints returns the fingerprints of the request.
func (q *request) computeFingerprints() (f fingerprints) {
	f.content = q.contentFingerprint()
	var hash xxhash.Digest
	hash.Reset()
	_, _ = hash.WriteString(strconv.FormatUint(f.content, 36))
	for _, name := range forwardedHeaders(q.r.Header, q.omittedHeaders()) {
		_, _ = hash.WriteString("\x00" + name + "\x00" + strings.Join(q.r.Header[name], "\x00"))
	}
	f.headers = hash.Sum64()
	return f
}

// forwardedHeaders returns the sorted names of the headers that targets see and that are equal
// in each attempt of a request.
func forwardedHeaders(h http.Header, omitted []string) (names []string) {
	for name := range h {
		if !slices.Contains(ignoredHeaders, name) && !slices.Contains(omitted, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// text returns the fingerprint that log lines contain.
func (f fingerprints) text() string { return strconv.FormatUint(f.content, 36) }

// quarantineRemaining returns the remaining quarantine of a request, or 0.
func (f fingerprints) quarantineRemaining(s *call.Suspects, now time.Time) time.Duration {
	return max(s.QuarantineRemaining(now, f.content), s.QuarantineRemaining(now, f.headers))
}

// hold returns whether a request is held, by its content or else by its headers.
func (f fingerprints) hold(s *call.Suspects, now time.Time, rank func() int) call.Hold {
	if h := s.Hold(now, f.content, rank); h != (call.Hold{}) {
		return h
	}
	return s.HoldByHeaders(now, f.headers, f.content)
}

// beginTrial reserves a trial. It returns 0 if the request may be sent, and otherwise when its
// caller may return.
func (f fingerprints) beginTrial(s *call.Suspects, now time.Time) (remaining time.Duration) {
	if remaining = s.BeginTrial(now, f.content); remaining > 0 {
		return remaining
	}
	if remaining = s.BeginTrial(now, f.headers); remaining > 0 {
		s.EndTrial(now, f.content, now, false)
	}
	return remaining
}

// endTrial ends the trial reserved at a time; dispatched is whether a target got the request.
func (f fingerprints) endTrial(s *call.Suspects, now, reserved time.Time, dispatched bool) {
	s.EndTrial(now, f.content, reserved, dispatched)
	s.EndTrial(now, f.headers, reserved, dispatched)
}

// crashCount returns the number of target crashes known for a request.
func (f fingerprints) crashCount(s *call.Suspects) int {
	return max(s.CrashCount(f.content), s.CrashCount(f.headers))
}

// recordFailure records a failed dispatch, and reports whether the request is held now.
func (f fingerprints) recordFailure(s *call.Suspects, now time.Time, d call.FailedDispatch) (held bool) {
	d.Content = f.content
	held = s.RecordFailure(now, f.content, d)
	return s.RecordFailure(now, f.headers, d) || held
}

// resolveBreak counts the connections that a target broke as a crash if it has ended, proven or as a trial
// has shown, and else forgets them. It reports whether the request is held or in quarantine now.
func (f fingerprints) resolveBreak(s *call.Suspects, now time.Time, target string, proven, byTrial bool) (held bool) {
	for _, fp := range []uint64{f.content, f.headers} {
		switch {
		case proven:
			held = s.ConfirmCrash(now, fp, target) || held
		case byTrial:
			held = s.ConfirmTrial(now, fp, target) || held
		default:
			s.DismissCrash(fp, target)
		}
	}
	return held
}

// recordResponse clears a request, and reports whether it had crashes.
func (f fingerprints) recordResponse(s *call.Suspects, now time.Time) bool {
	content := s.RecordResponse(now, f.content)
	return s.RecordResponse(now, f.headers) || content
}

// callerAddress returns the caller's IP address.
func (q *request) callerAddress() string {
	host, _, err := net.SplitHostPort(q.r.RemoteAddr)
	if err != nil {
		return q.r.RemoteAddr
	}
	return host
}
