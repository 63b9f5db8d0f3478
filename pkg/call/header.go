package call

// Names of the headers that plumpitch sets and reads.
const (
	// HeaderOutcome says whether the request ran, on answers that plumpitch
	// makes itself.
	HeaderOutcome = "Plumpitch-Outcome"
	// HeaderReason is the one-word cause beside HeaderOutcome.
	HeaderReason = "Plumpitch-Reason"
	// HeaderRetry is when to come back, in milliseconds.
	HeaderRetry = "Plumpitch-Retry"
	// HeaderRetryAfter is when to come back, in whole seconds, rounded up.
	HeaderRetryAfter = "Retry-After"
	// HeaderTimeout is the time remaining for a request, as a Go duration.
	HeaderTimeout = "Plumpitch-Timeout"
	// HeaderAttempt counts the earlier dispatches of a request that may have
	// run, at this level of the call tree or above it.
	HeaderAttempt = "Plumpitch-Attempt"
	// HeaderDepth is the level of a request in its call tree; 0 is the caller's
	// own request. A target copies it, with HeaderAttempt, to its nested calls.
	HeaderDepth = "Plumpitch-Depth"
	// HeaderLoad is a target's report of its own load on an answer.
	HeaderLoad = "Plumpitch-Load"
	// HeaderRequest names one dispatch. A target that repeats it on its answer
	// is safe from having the answer taken for another's.
	HeaderRequest = "Plumpitch-Request"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// HeaderPrefix starts the names that only plumpitch may set.
const HeaderPrefix = "Plumpitch-"
