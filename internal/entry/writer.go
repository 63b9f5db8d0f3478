package entry

import "net/http"

// outcomeWriter records whether the response has started, and its status.
type outcomeWriter struct {
	http.ResponseWriter
	body    *callerBody // nil if the request has no body
	started bool
	status  int
}

// start records the status of the response. If the request body wasn't read
// completely, the connection is closed after the response. Otherwise the rest of
// the body could be parsed as the next request, and the server would read it
// before it sends the response.
func (w *outcomeWriter) start(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started, w.status = true, status
	if w.body != nil && !w.body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader records the status and writes the header.
func (w *outcomeWriter) WriteHeader(status int) {
	w.start(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write records that the response has started and writes to it.
func (w *outcomeWriter) Write(p []byte) (int, error) {
	w.start(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
