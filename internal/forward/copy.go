package forward

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

const chunk = 32 << 10

var chunks = sync.Pool{New: func() any { return new([chunk]byte) }}

// Copy forwards a response to its caller and closes it. done is called once, with
// nil if the complete response was forwarded. If the response was cut or the
// caller has left, Copy then panics with http.ErrAbortHandler, so that the server
// closes the connection without the final chunk. After a normal return, the
// server would end a chunked response properly, and the caller would take a part
// of it for the complete response.
func Copy(w http.ResponseWriter, r *Answer, done func(*Failure)) {
	defer r.Close()
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops the server from detecting one
	}
	announce(h, r.Trailer)
	w.WriteHeader(r.Status)
	fail := r.pass(w)
	done(fail)
	if fail != nil {
		panic(http.ErrAbortHandler)
	}
}

// declareTrailers lists the trailers in the Trailer header. Trailers need a chunked
// response.
func announce(h, trailer http.Header) {
	for k := range trailer {
		if !own(k) && !hopByHop[k] {
			h.Add("Trailer", k)
		}
	}
}

// setTrailers sets the trailers, including those that the target didn't declare.
func (r *Answer) trail(h http.Header) {
	for k, v := range r.Trailer {
		switch {
		case own(k) || hopByHop[k]:
		case lists(h["Trailer"], k):
			h[k] = v
		default:
			h[http.TrailerPrefix+k] = v
		}
	}
}

// writeBody writes the body and the trailers to the caller.
func (r *Answer) pass(w http.ResponseWriter) *Failure {
	if r.Body == nil {
		return r.passWhole(w)
	}
	if f := r.stream(w); f != nil {
		return f
	}
	r.trail(w.Header())
	return nil
}

func (r *Answer) passWhole(w io.Writer) *Failure {
	if len(r.Whole) == 0 {
		return nil
	}
	if _, err := w.Write(r.Whole); err != nil {
		return r.failed(call.StageCancelled, errors.WithMessage(err, "writing to the caller"))
	}
	return nil
}

// streamBody copies the body. A response of unknown length is flushed after each
// read, because its parts may be events that the caller is waiting for.
func (r *Answer) stream(w http.ResponseWriter) *Failure {
	buf := chunks.Get().(*[chunk]byte)
	defer chunks.Put(buf)
	ctl := http.NewResponseController(w)
	if r.d.body.once {
		// Otherwise the server discards the rest of the request body at the first
		// write. Servers that don't support the call (HTTP/2) don't do that.
		_ = ctl.EnableFullDuplex()
	}
	if r.Length < 0 {
		if err := ctl.Flush(); err != nil {
			return r.failed(call.StageCancelled, err)
		}
	}
	for {
		n, err := r.Body.Read(buf[:])
		if n > 0 {
			if f := r.send(w, ctl, buf[:n]); f != nil {
				return f
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return r.failed(r.d.stage(r.Status, err), errors.WithMessage(err, "reading the response"))
		}
	}
}

// writeChunk writes a part of the body to the caller.
func (r *Answer) send(w io.Writer, ctl *http.ResponseController, p []byte) *Failure {
	_, err := w.Write(p)
	if err == nil && r.Length < 0 {
		err = ctl.Flush()
	}
	if err != nil {
		return r.failed(call.StageCancelled, errors.WithMessage(err, "writing to the caller"))
	}
	return nil
}

func (r *Answer) failed(s call.Stage, err error) *Failure {
	f := &Failure{Target: r.Target, Stage: s, Status: r.Status, Cause: err}
	if success(r.Status) {
		f.Ran = call.DidRun
	}
	return f
}
