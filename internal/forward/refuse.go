package forward

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"plumpitch.example/plumpitch/pkg/call"
)

// refusal is the JSON body of a response that plumpitch generates itself.
type refusal struct {
	Outcome    string `json:"outcome"`
	Reason     string `json:"reason"`
	Detail     string `json:"detail"`
	RetryAfter int64  `json:"retry"` // milliseconds
}

// Refuse writes a response that plumpitch generates itself.
func Refuse(w http.ResponseWriter, f call.Final) {
	h := w.Header()
	h.Set(call.HeaderOutcome, f.Outcome.String())
	h.Set(call.HeaderReason, string(f.Reason))
	h.Set("Cache-Control", "no-store")
	if f.StatusCode() == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer") // required with this status (RFC 9110, 15.5.2)
	}
	if f.RetryAfter > 0 {
		h.Set(call.HeaderRetryAfter, strconv.FormatInt(int64((f.RetryAfter+time.Second-1)/time.Second), 10))
		h.Set(call.HeaderRetry, strconv.FormatInt(ceilMillis(f.RetryAfter), 10))
	}
	body, err := json.Marshal(refusal{f.Outcome.String(), string(f.Reason), f.Detail, ceilMillis(f.RetryAfter)})
	if err != nil {
		body = []byte(`{}`)
	}
	body = append(body, '\n')
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(f.StatusCode())
	// A write error means that the caller has left; there is nobody to report it to.
	_, _ = w.Write(body)
}

// ceilMillis rounds up, so that a short delay never becomes 0, an immediate retry.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
