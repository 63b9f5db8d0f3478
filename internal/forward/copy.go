package forward

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

const copyBufferSize = 32 << 10 // bytes

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// Copy forwards a response to its caller and closes it. done is called once, with
// nil if the complete response was forwarded. If the response was cut or the
// caller has left, Copy then panics with http.ErrAbortHandler, so that the server
// closes the connection without the final chunk. After a normal return, the
// server would end a chunked response properly, and the caller would take a part
// of it for the complete response.
func Copy(w http.ResponseWriter, r *Response, done func(*Failure)) {
	defer r.Close()
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops the server from detecting one
	}
	declareTrailers(h, r.Trailer)
	w.WriteHeader(r.Status)
	fail := r.writeBody(w)
	done(fail)
	if fail != nil {
		panic(http.ErrAbortHandler)
	}
}

// declareTrailers lists the trailers in the Trailer header. HTTP/1.1 carries
// trailers only in a chunked response.
func declareTrailers(h, trailer http.Header) {
	for k := range trailer {
		if !isOwnHeader(k) && !hopByHop[k] {
			h.Add("Trailer", k)
		}
	}
}

// setTrailers sets the trailers, including those that the target didn't declare.
func (r *Response) setTrailers(h http.Header) {
	for k, v := range r.Trailer {
		switch {
		case isOwnHeader(k) || hopByHop[k]:
		case containsToken(h["Trailer"], k):
			h[k] = v
		default:
			h[http.TrailerPrefix+k] = v
		}
	}
}

// writeBody writes the body and the trailers to the caller.
func (r *Response) writeBody(w http.ResponseWriter) *Failure {
	if r.Body == nil {
		return r.writeBuffered(w)
	}
	if f := r.streamBody(w); f != nil {
		return f
	}
	r.setTrailers(w.Header())
	return nil
}

func (r *Response) writeBuffered(w io.Writer) *Failure {
	if len(r.Buffered) == 0 {
		return nil
	}
	if _, err := w.Write(r.Buffered); err != nil {
		return r.newFailure(call.StageCancelled, errors.WithMessage(err, "writing to the caller"))
	}
	return nil
}

// streamBody copies the body. A response of unknown length is flushed after each
// read, because its parts may be events that the caller is waiting for.
func (r *Response) streamBody(w http.ResponseWriter) *Failure {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	ctl := http.NewResponseController(w)
	if r.dispatch.body.streamed {
		// Otherwise the server discards the rest of the request body at the first
		// write. Servers that don't support the call (HTTP/2) don't do that.
		_ = ctl.EnableFullDuplex()
	}
	if r.Length < 0 {
		if err := ctl.Flush(); err != nil {
			return r.newFailure(call.StageCancelled, err)
		}
	}
	for {
		n, err := r.Body.Read(buf[:])
		if n > 0 {
			if f := r.writeChunk(w, ctl, buf[:n]); f != nil {
				return f
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return r.newFailure(r.dispatch.stage(r.Status, err), errors.WithMessage(err, "reading the response"))
		}
	}
}

// writeChunk writes a part of the body to the caller.
func (r *Response) writeChunk(w io.Writer, ctl *http.ResponseController, p []byte) *Failure {
	_, err := w.Write(p)
	if err == nil && r.Length < 0 {
		err = ctl.Flush()
	}
	if err != nil {
		return r.newFailure(call.StageCancelled, errors.WithMessage(err, "writing to the caller"))
	}
	return nil
}

func (r *Response) newFailure(s call.Stage, err error) *Failure {
	f := &Failure{Target: r.Target, Stage: s, Status: r.Status, Cause: err}
	if isSuccess(r.Status) {
		f.Execution = call.DidRun
	}
	return f
}
