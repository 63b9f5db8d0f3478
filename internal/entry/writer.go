package entry

import "net/http"

// outcomeWriter remembers whether an answer has begun and with which status.
type outcomeWriter struct {
	http.ResponseWriter
	body   *callerBody // nil for none
	begun  bool
	status int
}

// begin notes the status of the answer. One that begins before the whole body
// was read closes the connection after it: what comes of the body could
// otherwise be taken for the next request, and the server would read on before
// it sends the answer.
func (w *outcomeWriter) begin(status int) {
	if w.begun || status < http.StatusOK {
		return
	}
	w.begun, w.status = true, status
	if w.body != nil && !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader notes the status.
func (w *outcomeWriter) WriteHeader(status int) {
	w.begin(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write notes that the answer has begun.
func (w *outcomeWriter) Write(p []byte) (int, error) {
	w.begin(http.StatusOK)
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController flush.
func (w *outcomeWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
