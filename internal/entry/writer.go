package entry

import "net/http"

// outcomeWriter records whether the response has started, and its status.
type outcomeWriter struct {
	http.ResponseWriter
	body   *callerBody // nil if the request has no body
	begun  bool
	status int
}

// start records the status of the response. If the request body wasn't read
// completely, the connection is closed after the response. Otherwise the rest of
// the body could be parsed as the next request, and the server would read it
// before it sends the response.
func (w *outcomeWriter) begin(status int) {
	if w.begun || status < http.StatusOK {
		return
	}
	w.begun, w.status = true, status
	if w.body != nil && !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader records the status and writes the header.
func (w *outcomeWriter) WriteHeader(status int) {
	w.begin(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write records that the response has started and writes to it.
func (w *outcomeWriter) Write(p []byte) (int, error) {
	w.begin(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
