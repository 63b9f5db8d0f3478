package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/pkg/call"
)

// Answer is a target's answer. Whole is set, and Body nil, when all of it is
// in memory and its end was seen; else Body streams it. Close it in any case.
type Answer struct {
	Target  string
	Status  int
	Header  http.Header // without hop-by-hop and plumpitch's own headers
	Length  int64       // bytes of the body; negative when not known
	Whole   []byte
	Body    io.ReadCloser
	Trailer http.Header // announced ones; complete after the end of Body
	Load    Load
	Connect time.Duration // until a connection was had

	d *dispatch
}

// Close drops what was not read. A connection with bytes left is closed, so
// that they never reach another caller.
func (a *Answer) Close() {
	if a.Body == nil {
		return
	}
	a.d.end(errClosed)
	a.Body.Close()
}

// answer checks a head and reads a short body whole.
func (d *dispatch) answer(resp *http.Response, f *Forwarder) (a *Answer, err error) {
	if !d.echoed(resp.Header) {
		d.watch.stale.Store(true)
	}
	if d.watch.stale.Load() {
		return nil, errStale
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errUpgrade
	}
	bodyless := resp.Body == http.NoBody
	if d.echo == "" && !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errUnframed
	}
	a = &Answer{
		Target:  d.try.Target,
		Status:  resp.StatusCode,
		Header:  make(http.Header, len(resp.Header)),
		Length:  resp.ContentLength,
		Trailer: resp.Trailer,
		Connect: d.watch.connect(),
		d:       d,
	}
	if d.echo != "" {
		copyHeader(a.Header, resp.Header, nil)
	} else {
		copyHeader(a.Header, resp.Header, own)
		a.Load = f.load(resp.Header)
	}
	if bodyless {
		d.end(errClosed)
		return a, nil
	}
	if a.Length >= 0 && a.Length <= f.cfg.Whole {
		return a, d.whole(a, resp)
	}
	a.Body = &stream{src: resp.Body, d: d, a: a, resp: resp}
	if d.echo != "" {
		return a, d.gather(a, f.cfg.Whole)
	}
	if d.timer != nil && !d.timer.Stop() {
		return nil, errTimeout
	}
	return a, nil
}

// gather reads a body of any framing up to most bytes. One that is longer is
// passed on as it comes. A body that breaks off is then seen before its caller
// was told anything, so that another target may be asked.
func (d *dispatch) gather(a *Answer, most int64) error {
	var b bytes.Buffer
	_, err := io.CopyN(&b, a.Body, most+1)
	switch {
	case err == io.EOF:
		a.Whole, a.Length = b.Bytes(), int64(b.Len())
		a.Close()
		a.Body = nil
		return nil
	case err != nil:
		return errors.WithMessage(err, "reading the answer")
	}
	a.Body = &rest{io.MultiReader(&b, a.Body), a.Body}
	return nil
}

// rest is a body of which the beginning was read.
type rest struct {
	io.Reader
	io.Closer
}

// echoed reports whether an answer doesn't name another request.
func (d *dispatch) echoed(h http.Header) bool {
	name := call.HeaderRequest
	if d.echo != "" {
		name = d.echo
	}
	named := h[name]
	return len(named) == 0 || named[0] == d.id
}

// whole reads a short body to its end, which also frees its connection.
func (d *dispatch) whole(a *Answer, resp *http.Response) error {
	a.Whole = make([]byte, a.Length)
	if _, err := io.ReadFull(resp.Body, a.Whole); err != nil {
		return errors.WithMessage(err, "reading the answer")
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return errors.WithMessage(io.ErrUnexpectedEOF, "reading the end of the answer")
	}
	resp.Body.Close()
	d.end(errClosed)
	return nil
}

// stream is an answer body that fails when its target is silent for too long.
type stream struct {
	src   io.ReadCloser
	d     *dispatch
	a     *Answer
	resp  *http.Response
	timer *time.Timer
}

func (s *stream) Read(p []byte) (n int, err error) {
	if s.timer == nil {
		s.timer = time.AfterFunc(s.d.stall, func() { s.d.cancel(errStalled) })
	} else {
		s.timer.Reset(s.d.stall)
	}
	n, err = s.src.Read(p)
	s.timer.Stop()
	if err == io.EOF {
		s.a.Trailer = s.resp.Trailer
		return n, err
	}
	if err != nil {
		err = s.cause(err)
	}
	return n, err
}

func (s *stream) cause(err error) error {
	if cause := context.Cause(s.d.ctx); cause != nil {
		return cause
	}
	return err
}

func (s *stream) Close() error {
	s.d.end(errClosed)
	return s.src.Close()
}
