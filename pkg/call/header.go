package call

// Names of the headers that plumpitch sets and reads.
const (
	// HeaderOutcome reports whether the request ran, on responses that plumpitch
	// generates itself.
	HeaderOutcome = "Plumpitch-Outcome"
	// HeaderReason is the one-word cause that accompanies HeaderOutcome.
	HeaderReason = "Plumpitch-Reason"
	// HeaderRetry is the delay before the caller retries, in milliseconds.
	HeaderRetry = "Plumpitch-Retry"
	// HeaderRetryAfter is the delay before the caller retries, in whole seconds, rounded up.
	HeaderRetryAfter = "Retry-After"
	// HeaderTimeout is the time remaining for a request, as a Go duration.
	HeaderTimeout = "Plumpitch-Timeout"
	// HeaderAttempt is the number of earlier dispatches that may have run, of the
	// request itself or of a request above it in the call tree.
	HeaderAttempt = "Plumpitch-Attempt"
	// HeaderDepth is the level of a request in its call tree; 0 is the root request.
	// A target copies it, with HeaderAttempt, to its nested calls.
	HeaderDepth = "Plumpitch-Depth"
	// HeaderLoad is a target's report of its own load, on its responses.
	HeaderLoad = "Plumpitch-Load"
	// HeaderRequest identifies one dispatch. A target that echoes it on its response
	// prevents the response from being matched to another dispatch. Without it, no
	// report that the request was shed is believed.
	HeaderRequest = "Plumpitch-Request"
	// HeaderAccount names the caller's account to the target.
	HeaderAccount = "Plumpitch-Account"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// HeaderPrefix is the prefix of header names reserved for plumpitch.
const HeaderPrefix = "Plumpitch-"
