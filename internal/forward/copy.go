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

// Copy passes an answer on to its caller and closes it. ended is called once,
// with nil when all of it was passed on. Then, when the answer was cut or the
// caller is gone, Copy panics with http.ErrAbortHandler: a normal return would
// close the chunked answer properly, and the caller would take a part for the
// whole. The server closes the connection without the end mark.
func Copy(w http.ResponseWriter, a *Answer, ended func(*Failure)) {
	defer a.Close()
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	announce(h, a.Trailer)
	w.WriteHeader(a.Status)
	fail := a.pass(w)
	ended(fail)
	if fail != nil {
		panic(http.ErrAbortHandler)
	}
}

// announce names the trailers; they need an answer in chunks.
func announce(h, trailer http.Header) {
	for k := range trailer {
		if !own(k) && !hopByHop[k] {
			h.Add("Trailer", k)
		}
	}
}

// trail sets the trailers, also those that the target had not announced.
func (a *Answer) trail(h http.Header) {
	for k, v := range a.Trailer {
		switch {
		case own(k) || hopByHop[k]:
		case lists(h["Trailer"], k):
			h[k] = v
		default:
			h[http.TrailerPrefix+k] = v
		}
	}
}

func (a *Answer) pass(w http.ResponseWriter) *Failure {
	if a.Body == nil {
		return a.passWhole(w)
	}
	if f := a.stream(w); f != nil {
		return f
	}
	a.trail(w.Header())
	return nil
}

func (a *Answer) passWhole(w io.Writer) *Failure {
	if len(a.Whole) == 0 {
		return nil
	}
	if _, err := w.Write(a.Whole); err != nil {
		return a.failed(call.StageCancelled, errors.WithMessage(err, "writing to the caller"))
	}
	return nil
}

// stream copies the body. Answers of unknown length are flushed after each
// read: their parts may be events that somebody waits for.
func (a *Answer) stream(w http.ResponseWriter) *Failure {
	buf := chunks.Get().(*[chunk]byte)
	defer chunks.Put(buf)
	ctl := http.NewResponseController(w)
	if a.d.body.once {
		// Else the server drops what is left of the request at the first write.
		// One that can't do it (HTTP/2) has no such limit.
		_ = ctl.EnableFullDuplex()
	}
	if a.Length < 0 {
		if err := ctl.Flush(); err != nil {
			return a.failed(call.StageCancelled, err)
		}
	}
	for {
		n, err := a.Body.Read(buf[:])
		if n > 0 {
			if f := a.send(w, ctl, buf[:n]); f != nil {
				return f
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return a.failed(a.d.stage(a.Status, err), errors.WithMessage(err, "reading the answer"))
		}
	}
}

func (a *Answer) send(w io.Writer, ctl *http.ResponseController, p []byte) *Failure {
	_, err := w.Write(p)
	if err == nil && a.Length < 0 {
		err = ctl.Flush()
	}
	if err != nil {
		return a.failed(call.StageCancelled, errors.WithMessage(err, "writing to the caller"))
	}
	return nil
}

func (a *Answer) failed(s call.Stage, err error) *Failure {
	f := &Failure{Target: a.Target, Stage: s, Status: a.Status, Cause: err}
	if success(a.Status) {
		f.Ran = call.DidRun
	}
	return f
}
