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

// Response is a target's response. If it was read to its end, Buffered contains
// its body and Body is nil; otherwise Body streams it. Always call Close.
type Answer struct {
	Target  string
	Status  int
	Header  http.Header // end-to-end headers; also without plumpitch's own unless Config.EchoHeader is set
	Length  int64       // bytes of the body; negative if unknown
	Whole   []byte
	Body    io.ReadCloser
	Trailer http.Header // declared names; values are set at the end of Body
	Load    Load
	Connect time.Duration // time until a connection was obtained

	d *dispatch
}

// Close discards the rest of the body. A connection with unread bytes is closed,
// so that they never reach another caller.
func (r *Answer) Close() {
	if r.Body == nil {
		return
	}
	r.d.end(errClosed)
	r.Body.Close()
}

// readResponse checks a response head and buffers a short body.
func (d *dispatch) answer(resp *http.Response, f *Forwarder) (r *Answer, err error) {
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
	r = &Answer{
		Target:  d.try.Target,
		Status:  resp.StatusCode,
		Header:  make(http.Header, len(resp.Header)),
		Length:  resp.ContentLength,
		Trailer: resp.Trailer,
		Connect: d.watch.connect(),
		d:       d,
	}
	if d.echo != "" {
		copyHeader(r.Header, resp.Header, nil)
	} else {
		copyHeader(r.Header, resp.Header, own)
		r.Load = f.load(resp.Header)
	}
	if bodyless {
		d.end(errClosed)
		return r, nil
	}
	if r.Length >= 0 && r.Length <= f.cfg.Whole {
		return r, d.whole(r, resp)
	}
	r.Body = &stream{src: resp.Body, d: d, a: r, resp: resp}
	if d.echo != "" {
		return r, d.gather(r, f.cfg.Whole)
	}
	if d.timer != nil && !d.timer.Stop() {
		return nil, errTimeout
	}
	return r, nil
}

// bufferBody reads a body of any framing up to limit bytes. A longer body is
// streamed. If a buffered body breaks off, nothing was sent to the caller yet, so
// the request may be sent to another target.
func (d *dispatch) gather(r *Answer, limit int64) error {
	var b bytes.Buffer
	_, err := io.CopyN(&b, r.Body, limit+1)
	switch {
	case err == io.EOF:
		r.Whole, r.Length = b.Bytes(), int64(b.Len())
		r.Close()
		r.Body = nil
		return nil
	case err != nil:
		return errors.WithMessage(err, "reading the response")
	}
	r.Body = &rest{io.MultiReader(&b, r.Body), r.Body}
	return nil
}

// prefixedBody is a body of which the first part was read already.
type rest struct {
	io.Reader
	io.Closer
}

// matchesRequest reports whether a response has the id of this request or none.
func (d *dispatch) echoed(h http.Header) bool {
	name := call.HeaderRequest
	if d.echo != "" {
		name = d.echo
	}
	ids := h[name]
	return len(ids) == 0 || ids[0] == d.id
}

// readBody reads a short body to its end, which also releases its connection.
func (d *dispatch) whole(r *Answer, resp *http.Response) error {
	r.Whole = make([]byte, r.Length)
	if _, err := io.ReadFull(resp.Body, r.Whole); err != nil {
		return errors.WithMessage(err, "reading the response")
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return errors.WithMessage(io.ErrUnexpectedEOF, "reading the end of the response")
	}
	resp.Body.Close()
	d.end(errClosed)
	return nil
}

// streamedBody is a response body whose Read fails when the target sends nothing
// for too long.
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

// cause returns the reason why the dispatch was cancelled, or else err.
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
