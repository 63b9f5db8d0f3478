package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"plumpitch.example/plumpitch/internal/reply"
)

// Response is a target's response. If it was read to its end, Buffered contains
// its body and Body is nil; otherwise Body streams it. Always call Close.
type Response struct {
	Target      string
	Status      int
	Header      http.Header // end-to-end headers; without plumpitch's own, unless Config.EchoHeader is set
	Length      int64       // bytes of the body; negative if unknown
	Buffered    []byte
	Body        io.ReadCloser
	Trailer     http.Header // declared names; values are set at the end of Body
	Load        Load
	ConnectTime time.Duration // time until a connection was obtained
	RepeatedIDs int           // connections that were given up since they had carried the request's ID
	Identity    Identity

	dispatch *dispatch
	buffers  Buffers
	charged  atomic.Int64 // bytes of buffers
}

// Close discards the rest of the body. A connection with unread bytes is closed,
// so that they never reach another caller.
func (r *Response) Close() {
	r.uncharge()
	if r.Body == nil {
		return
	}
	r.dispatch.release(errResponseClosed)
	r.Body.Close()
}

// readResponse checks a response head and buffers a short body.
func (d *dispatch) readResponse(resp *http.Response, f *Forwarder) (r *Response, err error) {
	if d.trace.stale.Load() {
		return nil, errStaleConnection
	}
	if err := reply.CheckHead(resp); err != nil {
		return nil, err
	}
	if d.echoHeader != "" && !resp.ProtoAtLeast(1, 1) {
		// net/http drops Transfer-Encoding from HTTP/1.0, so the end of the body is unknown.
		return nil, &reply.Error{Part: "version", Found: resp.Proto}
	}
	identity := identify(resp.Header, d.idHeader(), d.id)
	if !d.belongs(identity) {
		return nil, &StrayError{resp.StatusCode, identity}
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errUnexpectedUpgrade
	}
	bodyless := resp.Body == http.NoBody
	if d.echoHeader == "" && !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errUnframed
	}
	r = &Response{
		Target:      d.params.Target,
		Status:      resp.StatusCode,
		Header:      make(http.Header, len(resp.Header)),
		Length:      resp.ContentLength,
		Trailer:     resp.Trailer,
		ConnectTime: d.trace.connectTime(),
		Identity:    identity,
		dispatch:    d,
		buffers:     f.cfg.Buffers,
	}
	defer func() {
		if err != nil {
			r.uncharge()
		}
	}()
	if d.echoHeader != "" {
		copyHeader(r.Header, resp.Header, nil)
	} else {
		copyHeader(r.Header, resp.Header, isOwnHeader)
		r.Load = f.readLoad(resp.Header)
		r.Load.Shed = r.Load.Shed && identity == OwnID && resp.StatusCode >= http.StatusBadRequest
	}
	if bodyless {
		d.release(errResponseClosed)
		return r, nil
	}
	if r.Load.Shed || identity == OwnID && f.cfg.IsRefusal != nil && f.cfg.IsRefusal(r.Status, resp.Header) {
		d.discardBody(resp)
		return r, nil
	}
	if r.Length >= 0 && r.Length <= f.cfg.MaxBufferedBytes && r.charge(r.Length) {
		return r, d.readBody(r, resp)
	}
	r.Body = &streamedBody{src: resp.Body, dispatch: d, response: r, httpResponse: resp}
	if d.echoHeader != "" {
		return r, d.bufferBody(r, f.cfg.MaxBufferedBytes)
	}
	if d.timer != nil && !d.timer.Stop() {
		return nil, errTimeout
	}
	return r, nil
}

// uncharged is how many bytes of a response may be buffered without a charge. They are part of the
// charge of a connection.
const uncharged = 8 << 10

// charge reports whether a number of bytes may be buffered in all.
func (r *Response) charge(bytes int64) bool {
	further := bytes - max(r.charged.Load(), uncharged)
	if further <= 0 {
		return true
	}
	if !r.buffers.Buffer(further) {
		return false
	}
	r.charged.Add(further)
	return true
}

// uncharge gives the buffered bytes back.
func (r *Response) uncharge() {
	if n := r.charged.Swap(0); n > 0 {
		r.buffers.Return(n)
	}
}

// bufferGrowth is the capacity of a growing buffer, relative to the bytes in it.
const bufferGrowth = 2

// bufferBody reads a body of any framing up to limit bytes. A longer body, or one for which there
// is no room, is streamed. If a buffered body breaks off, nothing was sent to the caller yet, so
// the request may be sent to another target.
func (d *dispatch) bufferBody(r *Response, limit int64) error {
	var b bytes.Buffer
	for size := min(limit, uncharged/bufferGrowth); ; size = min(limit, bufferGrowth*size) {
		if !r.charge(bufferGrowth * size) {
			break
		}
		_, err := io.CopyN(&b, r.Body, size+1-int64(b.Len()))
		if err == io.EOF {
			r.Buffered, r.Length = b.Bytes(), int64(b.Len())
			d.release(errResponseClosed)
			r.Body.Close()
			r.Body = nil
			return nil
		}
		if err != nil {
			return errors.WithMessage(err, "reading the response")
		}
		if size == limit {
			break
		}
	}
	r.Body = &prefixedBody{io.MultiReader(&b, r.Body), r.Body}
	return nil
}

// prefixedBody is a body of which the first part was read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

const (
	// maxRefusalBody is how much of a refusal's body is read so that its connection can be used
	// again, in bytes, and refusalBodyTimeout how long that may take.
	maxRefusalBody     = 4 << 10
	refusalBodyTimeout = 50 * time.Millisecond
)

// discardBody drops the body of a refusal. The head says all, so a body that breaks off, stays out
// or has no end doesn't matter; it only costs the connection.
func (d *dispatch) discardBody(resp *http.Response) {
	timer := time.AfterFunc(refusalBodyTimeout, func() { d.cancel(errResponseClosed) })
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody))
	resp.Body.Close()
	d.release(errResponseClosed)
}

// readBody reads a short body to its end, which also releases its connection.
func (d *dispatch) readBody(r *Response, resp *http.Response) error {
	r.Buffered = make([]byte, r.Length)
	if _, err := io.ReadFull(resp.Body, r.Buffered); err != nil {
		return errors.WithMessage(err, "reading the response")
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != io.EOF {
		return errors.WithMessage(io.ErrUnexpectedEOF, "reading the end of the response")
	}
	resp.Body.Close()
	d.release(errResponseClosed)
	return nil
}

// streamedBody is a response body whose Read fails when the target sends nothing
// for too long.
type streamedBody struct {
	src          io.ReadCloser
	dispatch     *dispatch
	response     *Response
	httpResponse *http.Response
	timer        *time.Timer
}

func (s *streamedBody) Read(p []byte) (n int, err error) {
	if s.timer == nil {
		s.timer = time.AfterFunc(s.dispatch.stallTimeout, func() { s.dispatch.cancel(errStalled) })
	} else {
		s.timer.Reset(s.dispatch.stallTimeout)
	}
	n, err = s.src.Read(p)
	s.timer.Stop()
	if err == io.EOF {
		return n, s.end()
	}
	if err != nil {
		err = s.cause(err)
	}
	return n, err
}

// end takes the trailer. It returns io.EOF, or an error if the trailer is malformed.
func (s *streamedBody) end() error {
	if err := reply.CheckTrailer(s.httpResponse.Trailer); err != nil {
		s.dispatch.trace.closeConn()
		return err
	}
	s.response.Trailer = s.httpResponse.Trailer
	return io.EOF
}

// cause returns the reason why the dispatch was cancelled, or else err.
func (s *streamedBody) cause(err error) error {
	if cause := context.Cause(s.dispatch.ctx); cause != nil {
		return cause
	}
	return err
}

func (s *streamedBody) Close() error {
	s.dispatch.release(errResponseClosed)
	return s.src.Close()
}
